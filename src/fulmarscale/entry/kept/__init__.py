"""Jobs that are kept: stored before they are accepted, run to their end."""
