"""Hold helpers, each module named by its one job."""
