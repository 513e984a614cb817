"""Balance requests across expert-parallel model groups."""

__version__ = "0.1.0"
