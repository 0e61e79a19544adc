"""Watches runs: records slow targets and moves stragglers away from them."""

from __future__ import annotations

from statistics import median
from typing import Final
from typing import Protocol
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.estimates import SLOW_FACTOR
from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.entry.jobs.stragglers import evaluate_run
from fulmarscale.entry.jobs.stragglers import is_cut_off
from fulmarscale.entry.jobs.stragglers import MIN_ELAPSED_S
from fulmarscale.entry.jobs.stragglers import move_pays
from fulmarscale.entry.jobs.stragglers import RunCondition
from fulmarscale.entry.jobs.target_speeds import StepRun
from fulmarscale.events import Event

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task

MIN_EXPECTED_S: Final = 0.001
"""Lower bound of expected run times, as ratios divide by them."""


class DecisionLog(Protocol):
    """Writes a log line about a decision."""

    def __call__(self, event: Event, **fields: object) -> None:
        """Write a line.

        :param event: the event of the line.
        :param fields: the inputs of the decision, by field name.
        """


class RunMonitor:
    """Compares the runs of one entry's tasks with their expected times."""

    def __init__(
        self, fleet: Fleet, run_times: RunTimes, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._run_times = run_times
        self._log = log

    def record_progress(
        self,
        job: Job,
        task: Task,
        percent: int,
        reported_at: float,
        now: float,
    ) -> None:
        """Record the progress of a run.

        :param job: the job.
        :param task: the task that it runs.
        :param percent: the share of its work that is done.
        :param reported_at: when the target reported it, by the entry's time.
        :param now: the entry's time.
        """
        if percent <= task.percent:
            return
        task.percent = percent
        task.progress_at = max(reported_at, task.assigned_at)
        self._record_slow_run(job, task, now)

    def record_success(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        """Record the duration of a run that succeeded.

        :param view: the agent of its target.
        :param job: the job.
        :param task: the task, still assigned.
        :param now: the entry's time.
        """
        if task.assigned_at == 0.0:
            # A former owner of the job requested the run.
            return
        ran_s = now - task.assigned_at
        expected_s = self._expected_s(job, task)
        if not task.is_slowness_recorded:
            view.record_slowness(ran_s / max(expected_s, MIN_EXPECTED_S), now)
        task.ran_s = ran_s
        self._record_speeds(view, job, task, now)
        self._run_times.record(
            job.queue.name,
            task.step.declared_s,
            ran_s * self._fleet.speeds.speed_of(view.name),
        )

    def check_run(self, job: Job, task: Task, now: float) -> None:
        """Stop a run that has stalled or is far too slow, to move its task.

        A target that does not respond can't stop it: its agent ends the run
        once the lease has run out.
        """
        view = self._fleet.find(task.agent)
        if view is None or view.target is None or task.stop_sent:
            return
        is_young = now - task.assigned_at < MIN_ELAPSED_S
        if is_young and view.leaves_at is None:
            return
        expected_s = self._expected_s(job, task)
        condition = self._evaluate_run(task, view, expected_s, now)
        if condition is RunCondition.HEALTHY:
            return
        if (
            condition is RunCondition.CUT_OFF
            and not self._fleet.has_healthy_capacity(job, task, now)
        ):
            return
        if condition is RunCondition.SLOW and not self._is_worth_moving(
            job, task, view, now
        ):
            return
        if condition is RunCondition.STALLED:
            view.record_failure(now)
        task.stop_sent = True
        task.failed_on.add(view.name)
        view.stops.append(task.key)
        view.mark_dirty()
        self._log(
            Event.RUN_MOVED,
            job=job.job_id,
            step=task.key.step,
            task=task.key.index,
            agent=view.name,
            verdict=condition.value,
            percent=task.percent,
            age_s=round(now - task.assigned_at, 3),
            expected_s=round(expected_s, 3),
        )

    def _evaluate_run(
        self, task: Task, view: AgentView, expected_s: float, now: float
    ) -> RunCondition:
        """Evaluate a run, and whether its target stays until its end.

        :param task: the task of the run.
        :param view: the agent of its target.
        :param expected_s: the expected duration of the run, in seconds.
        :param now: the entry's time.
        """
        if view.leaves_at is not None and is_cut_off(
            task, expected_s, view.leaves_at, now
        ):
            return RunCondition.CUT_OFF
        if now - task.assigned_at < MIN_ELAPSED_S:
            return RunCondition.HEALTHY
        return evaluate_run(task, expected_s, now)

    def _expected_s(self, job: Job, task: Task) -> float:
        """Return the expected duration of a task's run, in seconds.

        It is that of a sound target of the learned speed.
        """
        speeds = self._fleet.speeds
        if not speeds.is_uneven:
            return self._work_s(job, task)
        return self._work_s(job, task) / speeds.speed_of(task.agent)

    def _work_s(self, job: Job, task: Task) -> float:
        """Return the expected duration at the mean speed, in seconds."""
        peers_s = [
            whole_run_s * self._fleet.speeds.speed_of(agent)
            for agent, whole_run_s in job.peer_runs_s(task)
        ]
        if peers_s:
            return median(peers_s)
        return self._run_times.estimate_s(job.queue.name, task.step.declared_s)

    def _record_speeds(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        """Learn target speeds once all tasks of a step have succeeded.

        Those that succeed first tend to be small or on fast targets, so that
        they are not compared before.

        :param view: the agent of the task's target.
        :param job: the job.
        :param task: its task that has just succeeded, still assigned.
        :param now: the entry's time.
        """
        speeds = self._fleet.speeds
        if view.target is not None:
            speeds.observe_target(view.name, view.target)
        members = [other for other in job.tasks if other.step is task.step]
        if any(
            other is not task and other.phase is not TaskPhase.DONE
            for other in members
        ):
            return
        runs = [
            StepRun(other.agent, other.ran_s)
            for other in members
            if other.ran_s is not None and self._shows_speed(other.agent, now)
        ]
        was_uneven = speeds.is_uneven
        if len({run.agent for run in runs}) > 1:
            speeds.record_step(runs, now)
        else:
            expected_s = self._run_times.estimate_s(
                job.queue.name, task.step.declared_s
            )
            for run in runs:
                speeds.record_single(run, expected_s, now)
        if speeds.is_uneven != was_uneven:
            known = speeds.known_speeds
            self._log(
                Event.TARGET_SPEEDS_CHANGED,
                uneven=speeds.is_uneven,
                known=len(known),
                lowest=round(min(known, default=1.0), 3),
                highest=round(max(known, default=1.0), 3),
            )

    def _shows_speed(self, agent: str, now: float) -> bool:
        """Return whether runs on a target show the speed that it keeps."""
        view = self._fleet.find(agent)
        if view is None or view.is_cold:
            return False
        return not view.slowness.is_slow(now)

    def _is_worth_moving(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> bool:
        """Return whether a run is slow because of its target and can move.

        If all tasks of a job are slow, its declared run time is wrong, and
        moving them would only discard their work.
        """
        has_peers = bool(job.peer_runs_s(task))
        if not has_peers and not view.slowness.is_slow(now):
            return False
        if not self._fleet.speeds.is_uneven:
            return self._fleet.has_healthy_capacity(job, task, now)
        speed = self._fleet.top_healthy_speed(job, task, now)
        if speed is None:
            return False
        return move_pays(task, self._work_s(job, task) / speed, now)

    def _record_slow_run(self, job: Job, task: Task, now: float) -> None:
        """Record a far slower run than expected as slowness of its target."""
        view = self._fleet.find(task.agent)
        whole_run_s = task.whole_run_s
        if view is None or whole_run_s is None or task.is_slowness_recorded:
            return
        if now - task.assigned_at < MIN_ELAPSED_S:
            return
        expected_s = max(self._expected_s(job, task), MIN_EXPECTED_S)
        factor = whole_run_s / expected_s
        if factor >= SLOW_FACTOR:
            task.is_slowness_recorded = True
            view.record_slowness(factor, now)
