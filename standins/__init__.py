"""Stand-ins for the systems around fulmarscale: for tests and the demo."""
