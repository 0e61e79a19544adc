"""Fixtures shared by the steps of several features."""
