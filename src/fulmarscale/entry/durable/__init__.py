"""Durable jobs: stored before they are accepted, and run to completion."""
