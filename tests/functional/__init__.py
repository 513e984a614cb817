"""Test the real commands as separate processes."""
