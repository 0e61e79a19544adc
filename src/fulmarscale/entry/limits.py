"""The settings that limit memory and queueing of an entry."""

from __future__ import annotations

import msgspec


class EntryLimits(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Limits of an entry's records and queues, and of early dispatch."""

    records: int = 100_000
    """The number of records from which an entry accepts no new submission."""
    queued_tasks: int = 100_000
    """The largest number of tasks queued at an entry."""
    ahead: int = 2
    """Tasks of small jobs that may wait at an agent beyond its slots."""
    small_job: int = 20
    """The largest number of tasks of a small job."""
    stretch: float = 30.0
    """The due time of a job, as a multiple of its shortest possible time."""
