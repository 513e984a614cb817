"""Hold the tests."""
