"""Starts cells and gateways for the demos, tests and benchmarks."""
