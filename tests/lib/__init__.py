"""Hold what several tests share."""
