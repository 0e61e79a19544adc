"""Support of the scripts of the third review."""
