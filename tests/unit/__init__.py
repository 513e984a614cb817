"""Test modules one by one."""
