"""Measure the system with small stand-ins."""
