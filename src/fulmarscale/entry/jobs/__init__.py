"""Scheduling of jobs whose tasks may be run again."""
