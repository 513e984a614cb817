"""Assemble the layers into the processes that run."""
