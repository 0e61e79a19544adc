"""Messages between entries and agents, their codec and gRPC streams."""
