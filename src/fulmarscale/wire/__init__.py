"""Typed messages between processes, their codec and streams."""
