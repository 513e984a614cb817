"""Hold the example tables."""
