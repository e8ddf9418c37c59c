"""Example contracts and demos."""
