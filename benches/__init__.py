"""Benchmarks and experiments: dispatch policies, costs and capacity."""
