"""Provide helpers that several test modules share."""
