"""Stand in for the platform and the targets, for the demo, tests and bench."""
