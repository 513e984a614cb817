"""Define the settings and the refusals that callers and entries receive."""
