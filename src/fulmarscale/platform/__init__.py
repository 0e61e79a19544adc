"""Adapter to the users' platform: its services, messages and callers."""
