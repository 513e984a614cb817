"""Test real commands as separate processes."""
