"""Coordinate processes through the platform's key-value service."""
