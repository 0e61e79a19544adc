"""Limits of an entry, from its settings."""

from __future__ import annotations

import msgspec


class EntryLimits(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Limits of an entry's memory and of its eagerness."""

    records: int = 100_000
    """Submissions that an entry has a record of."""
    queued_tasks: int = 100_000
    """Tasks that wait for an agent."""
    ahead: int = 2
    """Tasks of small jobs that may wait at an agent for a slot."""
    small_job: int = 20
    """The largest job whose tasks may wait at an agent."""
    stretch: float = 30.0
    """A job is due after this many times its shortest possible time."""
