"""Test hyssopvane: unit tests, tests of real processes, and a fault soak."""
