"""Hold everything that is not public."""
