"""Hold one module for each command."""
