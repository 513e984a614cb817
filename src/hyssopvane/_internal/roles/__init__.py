"""Assemble the layers into the processes of an installation."""
