"""Admission of calls: contract limits and at-most-once execution."""
