"""Parse the command line."""
