"""Types, streams and time limits of runs, shared by entries and agents."""
