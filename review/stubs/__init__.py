"""Stand-ins for the platform, its runners and callers, for the cases."""
