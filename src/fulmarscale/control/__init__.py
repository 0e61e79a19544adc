"""Decisions about leases, the entry list and the configuration.

This package does no I/O and reads no clock.
"""
