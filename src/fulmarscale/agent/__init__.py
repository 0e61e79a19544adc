"""The process beside a target: queue, start, record, drain."""
