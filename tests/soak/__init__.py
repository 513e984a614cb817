"""Run the real programs under random faults; check what callers and replicas see."""
