"""The real decision code under virtual time, between small fakes."""
