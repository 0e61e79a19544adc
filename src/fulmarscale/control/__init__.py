"""Decisions about leases, the entry list and configuration."""
