"""Behave features that test the system, and the steps that they use."""
