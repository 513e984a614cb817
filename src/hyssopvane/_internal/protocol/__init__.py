"""Define the messages between processes and the headers exchanged with callers."""
