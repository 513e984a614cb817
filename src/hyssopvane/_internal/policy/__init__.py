"""Decide under load, without input, output or a wall clock."""
