"""Records the crashes of a target, with the runs that they ended.

A target crashes if its process ends without notice while its machine stays
up: connections to it are refused. A silent target may have lost power or its
network, and a draining one leaves as planned; neither is a crash.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.runs.crashes import CrashedRun
from fulmarscale.runs.crashes import CrashState
from fulmarscale.runs.crashes import TargetCrash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.agent.run import Run
    from fulmarscale.runs.model import TargetIncarnation
    from fulmarscale.runs.model import TaskKey

CRASH_RETENTION_S: Final = 60.0
"""How long a crash is remembered.

Longer than any caller retries the same job.
"""

MAX_CRASHES: Final = 16
"""Most crashes that are remembered; the oldest are dropped."""

MAX_CRASHED_RUNS: Final = 64
"""Most runs that are recorded of a crash; the oldest runs are left out."""

SETTLE_S: Final = 0.02
"""Time after a crash until which start requests may still be resolved.

A request that the target refused did not start a run, so that run is removed
from the crash.
"""


class CrashRecord:
    """One crash as its agent remembers it."""

    def __init__(
        self,
        incarnation: TargetIncarnation,
        runs: tuple[CrashedRun, ...],
        crashed_at: float,
    ) -> None:
        self.incarnation = incarnation
        self.state = CrashState.SUSPECTED
        self.runs = runs
        self.crashed_at = crashed_at
        """When the target first refused a connection, by the agent's time."""


class CrashRecorder:
    """Remembers the crashes of one target."""

    def __init__(self) -> None:
        self._records: list[CrashRecord] = []
        self._revision = 0

    @property
    def revision(self) -> int:
        """Rises with each change of the recorded crashes."""
        return self._revision

    @property
    def newest(self) -> CrashRecord | None:
        """The newest crash; none if none is remembered."""
        return self._records[-1] if self._records else None

    def is_settled(self, now: float) -> bool:
        """Return whether the newest crash can be reported.

        :param now: the agent's time.
        """
        newest = self.newest
        return newest is None or now - newest.crashed_at >= SETTLE_S

    def has_crashed(self, incarnation: TargetIncarnation) -> bool:
        """Return whether an incarnation is recorded as crashed."""
        return self.crashed_at(incarnation) > float("-inf")

    def crashed_at(self, incarnation: TargetIncarnation) -> float:
        """Return when an incarnation crashed; minus infinity if it didn't."""
        for record in self._records:
            is_open = record.state is not CrashState.DISPROVED
            if record.incarnation == incarnation and is_open:
                return record.crashed_at
        return float("-inf")

    def record_crash(
        self, incarnation: TargetIncarnation, runs: Iterable[Run], now: float
    ) -> CrashRecord:
        """Record that a target refuses connections, with its runs.

        :param incarnation: the target's incarnation.
        :param runs: the runs that were or may have been on it.
        :param now: the agent's time.
        """
        crashed_runs = sorted(
            (
                CrashedRun(
                    run.task,
                    run.queue,
                    now - run.requested_at,
                    run.is_certain(now),
                )
                for run in runs
            ),
            key=lambda run: (run.age_s, run.task),
        )
        self._records = [
            record
            for record in self._records
            if record.incarnation != incarnation
        ][1 - MAX_CRASHES :]
        record = CrashRecord(
            incarnation, tuple(crashed_runs[:MAX_CRASHED_RUNS]), now
        )
        self._records.append(record)
        self._revision += 1
        return record

    def remove_rejected_run(self, task: TaskKey, now: float) -> None:
        """Remove a run whose start the crashed target turned out to refuse.

        :param task: the run's task.
        :param now: the agent's time.
        """
        newest = self.newest
        if newest is None or self.is_settled(now):
            return
        remaining = tuple(run for run in newest.runs if run.task != task)
        if remaining != newest.runs:
            newest.runs = remaining
            self._revision += 1

    def confirm(self, incarnation: TargetIncarnation) -> None:
        """Record that another incarnation has replaced one that crashed."""
        self._resolve(incarnation, CrashState.CONFIRMED)

    def disprove(self, incarnation: TargetIncarnation) -> CrashRecord | None:
        """Record that an incarnation responds, so that it did not crash.

        :returns: the disproved crash; none if there is none.
        """
        return self._resolve(incarnation, CrashState.DISPROVED)

    def expire(self, now: float) -> None:
        """Remove crashes that are older than CRASH_RETENTION_S."""
        self._records = [
            record
            for record in self._records
            if now - record.crashed_at <= CRASH_RETENTION_S
        ]

    def report(self, now: float) -> tuple[TargetCrash, ...]:
        """Return all remembered crashes, for a message to an entry.

        :param now: the agent's time.
        """
        return tuple(
            TargetCrash(
                record.incarnation,
                record.state,
                now - record.crashed_at,
                record.runs,
            )
            for record in self._records
        )

    def _resolve(
        self, incarnation: TargetIncarnation, state: CrashState
    ) -> CrashRecord | None:
        for record in self._records:
            is_open = record.state is CrashState.SUSPECTED
            if record.incarnation == incarnation and is_open:
                record.state = state
                self._revision += 1
                return record
        return None
