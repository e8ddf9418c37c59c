"""Benchmarks; their output is stored in `docs/measurements/`."""
