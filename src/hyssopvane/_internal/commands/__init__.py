"""Implement the commands, one in each module."""
