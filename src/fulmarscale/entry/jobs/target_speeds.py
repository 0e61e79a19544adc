"""Learns the speeds of targets from the runs of tasks that are alike.

The tasks of a step do about the same work, so their run times on different
targets show the speeds, whatever run time the caller declared. Run times are
compared as logarithms: a target that is twice as fast and one that is half
as fast are equally far from the mean.

A speed is a property of a sound target. Runs that take far longer than the
learned speed explains are no evidence of it; `Slowness` records those.
"""

from __future__ import annotations

from math import exp
from math import log
from statistics import fmean
from statistics import median
from statistics import quantiles
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarscale.runs.model import TargetIncarnation
    from fulmarscale.runs.model import TargetReport

PEER_WEIGHT: Final = 0.1
"""Least weight of a run that was compared with runs of the same step."""

DECLARED_WEIGHT: Final = 0.02
"""Weight of a run that can only be compared with its estimated run time.

The estimate follows the declared run time, which is off by far more than the
tasks of one step differ.
"""

MAX_LOG_CHANGE: Final = log(1.8)
"""Largest difference to the learned speed that one run is evidence of."""

MAX_LOG_SPEED: Final = log(2.5)
"""Largest factor between a sound target's speed and the mean.

A target that seems slower is taken for faulty.
"""

MIN_RUNS: Final = 5
"""Runs from which the speed of a target is known."""

MIN_KNOWN_TARGETS: Final = 8
"""Known targets from which their speeds are compared."""

LOG_UNEVEN: Final = log(1.4)
"""Ratio of the quartiles of all speeds from which they differ clearly."""

LOG_EVEN: Final = log(1.3)
"""Ratio of the quartiles below which they no longer do.

A few faulty targets move neither quartile.
"""

REFRESH_S: Final = 0.1
"""Least time between two updates of the mean and the quartiles."""


class StepRun(NamedTuple):
    """A successful run of one task of a step."""

    agent: str
    """The name of the target's agent."""
    ran_s: float
    """Its duration, in seconds."""


class LearnedSpeed:
    """The learned speed of one incarnation of a target."""

    def __init__(self, target: TargetReport, log_speed: float) -> None:
        self._incarnation = target.incarnation
        self._kind = target.labels[0] if target.labels else ""
        self._runs = 0
        self._log_speed = log_speed

    @property
    def incarnation(self) -> TargetIncarnation:
        """The incarnation that it is the speed of."""
        return self._incarnation

    @property
    def kind(self) -> str:
        """The target's first label; empty if it has none."""
        return self._kind

    @property
    def is_known(self) -> bool:
        """Whether enough runs were seen."""
        return self._runs >= MIN_RUNS

    @property
    def log_speed(self) -> float:
        """The logarithm of the speed."""
        return self._log_speed

    def record(self, log_speed: float, weight: float) -> None:
        """Record the speed that a run shows.

        :param log_speed: its logarithm.
        :param weight: least weight of the run, from 0 to 1.
        """
        change = log_speed - self._log_speed
        change = min(max(change, -MAX_LOG_CHANGE), MAX_LOG_CHANGE)
        if weight == PEER_WEIGHT:
            weight = max(weight, 1 / (self._runs + 2))
        self._log_speed += weight * change
        self._runs += 1


class TargetSpeeds:
    """The speeds of an entry's targets, as factors of their mean speed."""

    def __init__(self) -> None:
        self._learned: dict[str, LearnedSpeed] = {}
        """Learned speeds, by the agent's name."""
        self._mean_log = 0.0
        """The mean of the logarithms of all known speeds."""
        self._kind_logs: dict[str, float] = {}
        """The same of the targets of each kind."""
        self._is_uneven = False
        self._speeds: dict[str, float] = {}
        """Speeds as factors of the mean, by the agent's name.

        Empty while they don't differ clearly.
        """
        self._refreshed_at = float("-inf")

    @property
    def is_uneven(self) -> bool:
        """Whether the measured speeds differ clearly.

        While they don't, every target counts as of the mean speed.
        """
        return self._is_uneven

    @property
    def known_speeds(self) -> list[float]:
        """The speeds of the targets with enough runs, as factors of the mean.

        Also while they do not differ clearly.
        """
        return [
            exp(each.log_speed - self._mean_log)
            for each in self._learned.values()
            if each.is_known
        ]

    def speed_of(self, agent: str) -> float:
        """Return the speed of an agent's target, as a factor of the mean.

        A target without enough runs counts as the others of its kind.

        :param agent: the agent's name.
        """
        return self._speeds.get(agent, 1.0)

    def observe_target(self, agent: str, target: TargetReport) -> None:
        """Start to learn the speed of a target that is not known yet.

        Another incarnation may run on another machine.
        """
        learned = self._learned.get(agent)
        if learned is None or learned.incarnation != target.incarnation:
            kind = target.labels[0] if target.labels else ""
            log_speed = self._kind_logs.get(kind, self._mean_log)
            self._learned[agent] = LearnedSpeed(target, log_speed)
            if self._is_uneven:
                self._speeds[agent] = exp(self._bounded_log(agent))

    def record_step(self, runs: Sequence[StepRun], now: float) -> None:
        """Record the runs of a step whose tasks have all succeeded.

        :param runs: its runs on targets that are not faulty.
        :param now: the entry's time.
        """
        works = [
            (run.agent, log(run.ran_s) + self._learned[run.agent].log_speed)
            for run in runs
            if run.ran_s > 0 and run.agent in self._learned
        ]
        for agent, log_work in works:
            others = [work for other, work in works if other != agent]
            if not others:
                continue
            learned = self._learned[agent]
            shown = learned.log_speed + median(others) - log_work
            learned.record(shown, PEER_WEIGHT)
        self._refresh(now)

    def record_single(
        self, run: StepRun, expected_s: float, now: float
    ) -> None:
        """Record a run without others to compare it with.

        :param run: a run on a target that is not faulty.
        :param expected_s: the expected duration at the mean speed.
        :param now: the entry's time.
        """
        learned = self._learned.get(run.agent)
        if learned is None or run.ran_s <= 0 or expected_s <= 0:
            return
        shown = self._mean_log + log(expected_s) - log(run.ran_s)
        learned.record(shown, DECLARED_WEIGHT)
        self._refresh(now)

    def _bounded_log(self, agent: str) -> float:
        """Return the logarithm of a speed as a factor of the mean."""
        learned = self._learned[agent]
        log_speed = learned.log_speed
        if not learned.is_known:
            log_speed = self._kind_logs.get(learned.kind, self._mean_log)
        difference = log_speed - self._mean_log
        return min(max(difference, -MAX_LOG_SPEED), MAX_LOG_SPEED)

    def _refresh(self, now: float) -> None:
        """Update what follows from all known speeds."""
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        self._is_uneven = self._compare_known()
        self._speeds.clear()
        if self._is_uneven:
            self._speeds.update(
                (agent, exp(self._bounded_log(agent)))
                for agent in self._learned
            )

    def _compare_known(self) -> bool:
        """Update the means of the known speeds.

        :returns: whether the speeds differ clearly.
        """
        known = [each for each in self._learned.values() if each.is_known]
        if len(known) < MIN_KNOWN_TARGETS:
            return False
        logs = [each.log_speed for each in known]
        self._mean_log = fmean(logs)
        by_kind: dict[str, list[float]] = {}
        for each in known:
            by_kind.setdefault(each.kind, []).append(each.log_speed)
        self._kind_logs = {
            kind: fmean(members) for kind, members in by_kind.items()
        }
        low, _, high = quantiles(logs, n=4)
        limit = LOG_EVEN if self._is_uneven else LOG_UNEVEN
        return high - low >= limit
