"""The path of a request through an entry, one filter a module."""
