"""Placement of calls: scheduling of slots, server health, attempts."""
