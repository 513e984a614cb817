"""Provide helpers for logs, metrics, addresses, back-off and rate limits."""
