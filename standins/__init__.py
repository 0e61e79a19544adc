"""Small stand-ins for the systems around fulmarscale, for tests."""
