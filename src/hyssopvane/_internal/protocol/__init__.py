"""Define the messages between processes and the outcomes told to callers."""
