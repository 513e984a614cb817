"""Test single modules in the process of the tests."""
