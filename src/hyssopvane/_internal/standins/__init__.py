"""Simulate the platform and the targets for the demo, the tests and the bench."""
