"""Measure performance and behavior of the system, using stand-ins for its targets."""
