"""Hold small value types."""
