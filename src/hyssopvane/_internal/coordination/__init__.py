"""Agree with other processes through the platform's key-value service."""
