"""Ends of runs of unknown entries whose jobs aren't open at this entry.

An agent that has started again doesn't know which entry requested the runs
whose ends its target lists, nor whether their jobs are durable. It keeps these
ends until an entry acknowledges them: the owner of the job, or any entry once
the store shows that there is no such job.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import record_key
from fulmarscale.errors import FulmarError
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.messages import CompletionAck

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import TargetIncarnation

END_RETENTION_S: Final = 25.0
"""How long an end is looked after; its agent releases it before."""

STORED_RETRY_S: Final = 2.0
"""Pause before a job that the store has is looked up again."""

FAILED_RETRY_S: Final = 0.5
"""Pause after a call to the store that has failed."""

READ_PAUSE_S: Final = 0.05
"""Pause between two calls to the store.

All entries get the ends of an agent at the same time.
"""

ReleasedEnds = dict[str, tuple[CompletionAck, ...]]
"""The acknowledgements for each agent, by its name."""


class UnownedEnd(NamedTuple):
    """An end of a run, and since when it is known."""

    job_id: JobId
    added_at: float


class UnownedEnds:
    """Decides which jobs are looked up in the store, and when.

    Methods take the entry's time, in seconds.
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[str, TargetIncarnation, int], UnownedEnd] = {}
        """Ends by agent, target and position in the target's list."""
        self._next_look_up_at: dict[JobId, float] = {}
        """When each of their jobs may be looked up."""

    @property
    def is_empty(self) -> bool:
        """Whether no ends are known."""
        return not self._ends

    def add(
        self, agent: str, completion: DurableCompletion, now: float
    ) -> None:
        """Add an end, unless its agent knows the entry of the run.

        :param agent: the agent that keeps it.
        :param completion: the end.
        :param now: the entry's time.
        """
        if completion.entry is not None:
            return
        key = (agent, completion.incarnation, completion.position)
        job_id = completion.task.job_id
        self._ends[key] = UnownedEnd(job_id, now)
        self._next_look_up_at[job_id] = now

    def expire(self, now: float) -> None:
        """Remove the ends that their agents have released by now."""
        for key, end in list(self._ends.items()):
            if now - end.added_at > END_RETENTION_S:
                del self._ends[key]
        self._forget_jobs()

    def next_job(self, now: float) -> JobId | None:
        """Return a job that is to be looked up now; none if there is none."""
        for job_id, due_at in self._next_look_up_at.items():
            if due_at <= now:
                return job_id
        return None

    def keep(self, job_id: JobId, now: float) -> None:
        """Keep the ends of a job that the store has."""
        self._next_look_up_at[job_id] = now + STORED_RETRY_S

    def discard(self, job_id: JobId) -> None:
        """Remove the ends of a job that this entry owns by now."""
        self._release(lambda end: end.job_id == job_id)

    def release(self, job_id: JobId) -> ReleasedEnds:
        """Release the ends of a job that the store doesn't have."""
        return self._release(lambda end: end.job_id == job_id)

    def release_before(self, read_at: float) -> ReleasedEnds:
        """Release the ends from before a read that showed no job at all.

        :param read_at: when the read began.
        """
        return self._release(lambda end: end.added_at <= read_at)

    def _release(
        self, is_released: Callable[[UnownedEnd], bool]
    ) -> ReleasedEnds:
        released: dict[str, list[CompletionAck]] = {}
        for key, end in list(self._ends.items()):
            if is_released(end):
                agent, incarnation, position = key
                ack = CompletionAck(incarnation, position)
                released.setdefault(agent, []).append(ack)
                del self._ends[key]
        self._forget_jobs()
        return {agent: tuple(acks) for agent, acks in released.items()}

    def _forget_jobs(self) -> None:
        """Forget the jobs without ends."""
        present = {end.job_id for end in self._ends.values()}
        for job_id in list(self._next_look_up_at):
            if job_id not in present:
                del self._next_look_up_at[job_id]


class UnownedEndReview:
    """Looks the jobs of unowned ends up in the store.

    :param rows: the store.
    :param is_active: whether this entry knows of durable jobs.
    :param poll: queries the store for durable jobs, and makes the entry
        active if there are any; returns whether the store answered.
    :param owns: whether this entry owns a job or is about to.
    :param acknowledge: acknowledges ends to an agent.
    """

    def __init__(
        self,
        rows: RowTable,
        *,
        is_active: Callable[[], bool],
        poll: Callable[[], Awaitable[bool]],
        owns: Callable[[JobId], bool],
        acknowledge: Callable[[str, tuple[CompletionAck, ...]], None],
    ) -> None:
        self._rows = rows
        self._is_active = is_active
        self._poll = poll
        self._owns = owns
        self._acknowledge = acknowledge
        self._ends = UnownedEnds()
        self._has_ends = asyncio.Event()

    def add(self, agent: str, completion: DurableCompletion) -> None:
        """Add an end of a job that isn't open at this entry."""
        self._ends.add(agent, completion, boottime_s())
        if not self._ends.is_empty:
            self._has_ends.set()

    async def run(self) -> None:
        """Resolve ends until the task is cancelled."""
        while True:
            await self._has_ends.wait()
            is_answered = await self._resolve_next()
            await asyncio.sleep(
                READ_PAUSE_S if is_answered else FAILED_RETRY_S
            )
            self._ends.expire(boottime_s())
            if self._ends.is_empty:
                self._has_ends.clear()

    async def _resolve_next(self) -> bool:
        """Make one call to the store if one is due.

        :returns: whether the store answered.
        """
        now = boottime_s()
        job_id = self._ends.next_job(now)
        if job_id is None:
            return True
        if self._owns(job_id):
            # The entry acknowledges them as the owner.
            self._ends.discard(job_id)
            return True
        if not self._is_active():
            is_answered = await self._poll()
            if is_answered and not self._is_active():
                self._release(self._ends.release_before(now))
            return is_answered
        try:
            row = await self._rows.read_row(record_key(job_id))
        except FulmarError:
            return False
        if row is None:
            self._release(self._ends.release(job_id))
        else:
            # Its owner decides, or the entry that takes it over.
            self._ends.keep(job_id, now)
        return True

    def _release(self, released: ReleasedEnds) -> None:
        for agent, acks in released.items():
            self._acknowledge(agent, acks)
