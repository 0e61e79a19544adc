"""Runs of tasks under leases: what entries and agents share."""
