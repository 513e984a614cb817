"""Contain the implementation, which is not a public interface."""
