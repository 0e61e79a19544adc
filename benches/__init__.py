"""Experiments with the policy under load and faults."""
