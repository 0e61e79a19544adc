"""Features: what the system promises, and the steps that prove it."""
