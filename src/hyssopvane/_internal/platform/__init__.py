"""Adapt the names, formats and calls of the users' platform to the core's types."""
