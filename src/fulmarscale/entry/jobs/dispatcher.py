"""Takes in jobs, places their tasks and answers.

All decisions of an entry about jobs whose tasks may be run again. It holds
no socket and no clock.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import CloseKeptJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JobState
from fulmarscale.entry.jobs.actions import JoinAgent
from fulmarscale.entry.jobs.actions import LeaveAgent
from fulmarscale.entry.jobs.actions import LogDecision
from fulmarscale.entry.jobs.actions import RenewTenure
from fulmarscale.entry.jobs.actions import TakeKeptEnd
from fulmarscale.entry.jobs.admission import Forecast
from fulmarscale.entry.jobs.admission import is_hopeless
from fulmarscale.entry.jobs.admission import is_servable
from fulmarscale.entry.jobs.estimates import RunTimes
from fulmarscale.entry.jobs.estimates import SLOW_FACTOR
from fulmarscale.entry.jobs.fleet import Fleet
from fulmarscale.entry.jobs.job import Job
from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.entry.jobs.outbox import Outbox
from fulmarscale.entry.jobs.overload import OverloadMeter
from fulmarscale.entry.jobs.stragglers import judge
from fulmarscale.entry.jobs.stragglers import LEAST_ELAPSED_S
from fulmarscale.entry.jobs.stragglers import Verdict
from fulmarscale.entry.jobs.subset import Subset
from fulmarscale.entry.jobs.waker import Waker
from fulmarscale.events import Event
from fulmarscale.runs.limits import BUSY_TICK_S
from fulmarscale.runs.limits import IDLE_TICK_S
from fulmarscale.runs.limits import SURELY_OVER_S
from fulmarscale.runs.limits import SURVEY_S
from fulmarscale.runs.messages import ExpectedRun
from fulmarscale.runs.messages import StartOrder
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.site_state import newer
from fulmarscale.runs.site_state import SiteState

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.actions import DispatchAction
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.subset import KnownAgent
    from fulmarscale.entry.kept.record import JobRecord
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import KeptEnd
    from fulmarscale.runs.messages import RunReport
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TaskKey
    from fulmarscale.runs.site_state import Queue

LATE_FACTOR: Final = 3.0
"""An answer after this many objectives is worth nothing to the caller."""

MOST_PASSED_OVER: Final = 3
"""Jobs for which there is no room before no further one is looked at.

What the most urgent ones can't use may still do for a smaller one.
"""

YOUNG_S: Final = 1.0
"""Time after a start in which agents and targets turn up.

After a loss of power of all machines targets answer 0.3 to 0.9 s after the
entries have started.
"""

STANDSTILL_S: Final = 0.25
"""How late a tick is when the process stood still."""

SETTLE_S: Final = 0.1
"""Time after a standstill in which nothing is started.

What came in meanwhile is taken in first, so that no order rests on it.
"""

RETRY_AFTER_S: Final = 1.0
"""The earliest that a refused job is worth another attempt.

HTTP counts in whole seconds.
"""

LONGEST_RETRY_AFTER_S: Final = 5.0
"""The latest: a target that is lost is back or replaced by then."""


def retry_after_s(wait_s: float) -> float:
    """Tell when another attempt is likely to be taken.

    :param wait_s: the predicted wait, in seconds.
    :returns: seconds.
    """
    return min(max(wait_s, RETRY_AFTER_S), LONGEST_RETRY_AFTER_S)


class Dispatcher:
    """The decisions of one entry."""

    def __init__(self, entry: EntryId, data_centre: str) -> None:
        self._entry = entry
        self._site = SiteState()
        self._jobs: dict[JobId, Job] = {}
        self._waiting: dict[JobId, Job] = {}
        """Jobs with tasks that wait for room."""
        self._fleet = Fleet(data_centre)
        self._outbox = Outbox(entry, self._fleet)
        self._waker = Waker(self._fleet)
        self._subset = Subset(entry.name, self._fleet)
        self._streams: dict[str, str] = {}
        """Addresses of the agents that streams are kept to, by name."""
        self._unjudged: dict[JobId, Job] = {}
        """New jobs that may have to be refused once all room is known."""
        self._sessions: dict[int, AgentView] = {}
        self._run_times = RunTimes()
        self._order_number = 0
        self._is_unsettled = False
        self._must_place = False
        """Whether more may be ordered than when it was looked at last."""
        self._last_event_at: float | None = None
        self._next_tick_s = IDLE_TICK_S
        """How soon after the last event there is a tick."""
        self._settled_at = float("-inf")
        self._overload = OverloadMeter()
        self._started_at = float("-inf")
        self._actions: list[DispatchAction] = []

    @property
    def site(self) -> SiteState:
        """What operators have set, as far as known here."""
        return self._site

    @property
    def is_unsettled(self) -> bool:
        """Whether `settle` has to be called before the process waits."""
        return self._is_unsettled

    @property
    def jobs(self) -> int:
        """Jobs that have no answer yet."""
        return len(self._jobs)

    @property
    def agents(self) -> list[AgentView]:
        """All agents known."""
        return self._fleet.views

    @property
    def subset(self) -> Subset:
        """The agents that this entry uses."""
        return self._subset

    @property
    def is_ready(self) -> bool:
        """Whether jobs can be taken in."""
        return self._site.is_known and any(
            view.session is not None for view in self._fleet.views
        )

    def tick_pause_s(self, now: float) -> float:
        """Tell how soon the next tick has to come, in seconds.

        :param now: the entry's time.
        """
        if self._must_place and self._waker.is_surveying(now):
            return SURVEY_S
        is_busy = self._jobs or any(v.ordered for v in self._fleet.views)
        return BUSY_TICK_S if is_busy else IDLE_TICK_S

    def submit(
        self,
        job_id: JobId,
        queue: Queue,
        spec: JobSpec,
        wait_s: float,
        now: float,
    ) -> list[DispatchAction]:
        """Take in a job.

        :param job_id: the caller's name for it.
        :param queue: the queue that it is handed in to.
        :param spec: what to run.
        :param wait_s: how long the caller waits.
        :param now: the entry's time.
        """
        self._note_time(now)
        if job_id in self._jobs:
            self._log(Event.JOB_JOINED, job=job_id)
            return self._defer()
        job = Job(job_id, queue, spec, now, now + wait_s)
        self._set_objective(job)
        self._jobs[job_id] = job
        self._note_waiting(job)
        if self._overload.is_overloaded:
            self._give_up(job, now, "overloaded")
            return self._defer()
        self._unjudged[job_id] = job
        self._subset.note_needs(job, now)
        self._log(
            Event.JOB_TAKEN,
            job=job_id,
            queue=queue.name,
            tasks=len(job.tasks),
            version=self._site.configuration_version,
            wait_s=wait_s,
        )
        return self._defer()

    def begin_kept(
        self,
        job_id: JobId,
        record: JobRecord,
        now: float,
    ) -> list[DispatchAction]:
        """Run a job that is stored.

        :param job_id: the caller's name for it.
        :param record: what is stored of it.
        :param now: the entry's time.
        """
        self._note_time(now)
        job = Job(job_id, record.queue, record.spec, now, float("inf"))
        job.tenure = record.tenure
        self._set_objective(job)
        job.restore(record.done, record.failures)
        self._subset.note_needs(job, now)
        self._jobs[job_id] = job
        self._note_waiting(job)
        if job.tenure > 1:
            job.held_until = now + SURELY_OVER_S
            job.may_have_run = bool(record.ends)
            self._take_strays(job, now)
        self._log(
            Event.JOB_TAKEN,
            job=job_id,
            queue=record.queue.name,
            tasks=len(job.tasks),
            version=self._site.configuration_version,
            done=len(record.done),
        )
        self._close_kept(job, now)
        return self._finish(now)

    def change_tenure(
        self, job_id: JobId, tenure: int, now: float
    ) -> list[DispatchAction]:
        """Go on with a kept job under a new tenure, which is stored."""
        job = self._jobs.get(job_id)
        if job is not None:
            job.tenure = tenure
            job.held_until = now
            self._must_place = True
        return self._finish(now)

    def hopeless_wait_s(
        self, queue: Queue, spec: JobSpec, now: float
    ) -> float | None:
        """Predict the wait of a job that would end too late to be of use.

        :param queue: the queue that it is to be handed in to.
        :param spec: what to run.
        :param now: the entry's time.
        :returns: seconds; none if the job can be served.
        """
        job = Job(JobId(""), queue, spec, now, float("inf"))
        self._set_objective(job)
        if self._fleet.has_room(job, now) or self._is_young(now):
            return None
        waiting = [*self._waiting.values(), job]
        forecast = Forecast(waiting, self._run_times)
        wait_s = forecast.wait_s(job, self._fleet.load(job, now))
        chain_s = job.objective_at - job.latest_start_at
        return None if now + wait_s + chain_s <= job.useless_at else wait_s

    def settle_ends(
        self, agent: str, receipts: tuple[EndReceipt, ...], now: float
    ) -> list[DispatchAction]:
        """Tell an agent what became of ends that it holds."""
        view = self._fleet.find(agent)
        if view is not None:
            view.add_receipts(receipts)
        return self._finish(now)

    def note_kept_jobs(self, *, is_any: bool) -> None:
        """Note whether any jobs are kept at all, as agents want to know."""
        self._outbox.note_kept_jobs(is_any=is_any)
        if is_any:
            self._subset.use_all()

    def pending(self) -> dict[str, int]:
        """Count kept jobs of which no task has begun, by queue."""
        found: dict[str, int] = {}
        for job in self._jobs.values():
            if job.is_kept and not job.has_begun:
                found[job.queue.name] = found.get(job.queue.name, 0) + 1
        return found

    def cancel(self, job_id: JobId, now: float) -> list[DispatchAction]:
        """Drop a job whose caller has left, or that is another's now."""
        self._note_time(now)
        job = self._jobs.pop(job_id, None)
        self._waiting.pop(job_id, None)
        if job is not None:
            self._log(
                Event.JOB_CANCELLED,
                job=job_id,
                age_s=round(now - job.arrived_at, 3),
            )
            self._stop_all(job)
        return self._finish(now)

    def state_of(self, job_id: JobId) -> JobState | None:
        """Tell how far a job is that has no answer yet."""
        job = self._jobs.get(job_id)
        if job is None:
            return None
        return JobState.RUNNING if job.has_begun else JobState.QUEUED

    def revoke(self, job_id: JobId, now: float) -> list[DispatchAction]:
        """Cancel a best-effort job and answer all who wait for it."""
        self._note_time(now)
        job = self._jobs.get(job_id)
        if job is not None and not job.is_kept:
            self._answer(job, JobOutcome.CANCELLED, now, "cancelled")
        return self._finish(now)

    def give_up_all(self, now: float) -> list[DispatchAction]:
        """Answer all jobs, as the entry is about to stop."""
        for job in list(self._jobs.values()):
            if not job.is_kept:
                self._give_up(job, now, "entry_stops")
        return self._finish(now)

    def know_agents(
        self, agents: tuple[KnownAgent, ...], now: float
    ) -> list[DispatchAction]:
        """Take in all agents that announced themselves."""
        self._note_time(now)
        self._subset.learn(agents)
        if not self._streams:
            self._keep_streams(now)
        return self._finish(now)

    def open_agent(
        self, session: int, name: str, now: float
    ) -> list[DispatchAction]:
        """Take in a new stream to an agent."""
        self._note_time(now)
        view = self._fleet.open(name, now)
        if view.session is not None:
            self._sessions.pop(view.session, None)
        view.reset()
        self._fleet.connect(view, session)
        view.token = None
        view.sequence = 0
        view.expected = tuple(
            ExpectedRun(key, order) for key, order in view.ordered.items()
        )
        view.stops = [key for key in view.ordered if not self._wants(key)]
        view.mark_dirty()
        self._sessions[session] = view
        self._log(Event.AGENT_CONNECTED, agent=name)
        return self._finish(now)

    def close_agent(self, session: int, now: float) -> list[DispatchAction]:
        """Note that a stream ended; its runs may go on for a while."""
        self._note_time(now)
        view = self._sessions.pop(session, None)
        if view is not None:
            self._fleet.disconnect(view)
            view.reset()
            self._log(
                Event.AGENT_LOST, agent=view.name, runs=len(view.ordered)
            )
        return self._finish(now)

    def receive_agent(
        self, session: int, message: AgentMessage, now: float
    ) -> list[DispatchAction]:
        """Take in an agent's message."""
        self._note_time(now)
        view = self._sessions.get(session)
        if view is None:
            return self._defer()
        if view.update(message, now) or message.reports or message.held_ends:
            self._must_place = True
        if view.is_due(now):
            view.mark_dirty()
        if message.site is not None:
            self._adopt_site(message.site, view.name, now)
        for progress in message.progress:
            told_at = now - progress.age_s
            self._note_progress(progress.task, progress.percent, told_at, now)
        for report in message.reports:
            self._take_report(view, report, now)
        for end in message.held_ends:
            self._take_held_end(view, end, now)
        return self._defer()

    def adopt_site(self, site: SiteState, now: float) -> list[DispatchAction]:
        """Take in what was read from the store."""
        self._note_time(now)
        self._adopt_site(site, "store", now)
        return self._finish(now)

    def tick(self, now: float) -> list[DispatchAction]:
        """Note that time has passed."""
        self._note_time(now)
        self._note_tick(now)
        for view in self._fleet.views:
            if view.ordered and now - view.heard_at > SURELY_OVER_S:
                self._give_up_agent(view, now)
        forecast = self._forecast()
        for job in list(self._jobs.values()):
            self._check_time(job, forecast, now)
        self._must_place = True
        self._overload.expect_tick(now + self.tick_pause_s(now))
        used = self._own_demand() if self._waiting else 0
        self._subset.fit(used, now)
        self._keep_streams(now)
        self._outbox.tick(has_backlog=bool(self._waiting), now=now)
        return self._finish(now)

    def _judge_new(self, now: float) -> None:
        """Refuse new jobs that can't be on time, once all room is known.

        Agents that sleep are asked first; what they have may be enough.
        """
        if not self._unjudged or now < self._settled_at:
            return
        forecast: Forecast | None = None
        for job_id, job in list(self._unjudged.items()):
            if job.has_begun or self._jobs.get(job_id) is not job:
                del self._unjudged[job_id]
            elif self._fleet.is_surveyed(job, now):
                del self._unjudged[job_id]
                if forecast is None:
                    forecast = self._forecast()
                self._refuse_hopeless(job, forecast, now, is_new=True)

    def _own_demand(self) -> int:
        """Tell what this entry's runs take, in thousandths of a core."""
        return sum(
            task.step.demand.cpu_millicores
            for job in self._jobs.values()
            for task in job.ordered
        )

    def _keep_streams(self, now: float) -> None:
        """Open and close streams as the choice of agents changes."""
        chosen = self._subset.choose(now)
        for name in sorted(self._streams.keys() - chosen.keys()):
            del self._streams[name]
            self._actions.append(LeaveAgent(name))
            self._log(Event.AGENT_LEFT_OUT, agent=name)
        for name, agent in sorted(chosen.items()):
            if self._streams.get(name) == agent.address:
                continue
            self._streams[name] = agent.address
            self._actions.append(JoinAgent(name, agent.address))
            self._log(
                Event.AGENT_CHOSEN,
                agent=name,
                address=agent.address,
                chosen=len(chosen),
                size=self._subset.size,
            )

    def _move(self, job: Job, task: Task, phase: TaskPhase) -> None:
        job.move(task, phase)
        self._note_waiting(job)

    def _note_waiting(self, job: Job) -> None:
        self._must_place = True
        if job.is_waiting:
            self._waiting[job.job_id] = job
        else:
            self._waiting.pop(job.job_id, None)

    def _note_time(self, now: float) -> None:
        last = self._last_event_at
        self._last_event_at = now
        if last is None:
            self._started_at = now
        if last is None or now - last <= STANDSTILL_S + self._next_tick_s:
            return
        self._settled_at = now + SETTLE_S
        self._log(Event.STOOD_STILL, pause_s=round(now - last, 3))

    def _note_tick(self, now: float) -> None:
        if self._overload.note_tick(now):
            self._log(
                Event.OVERLOAD_CHANGED,
                overloaded=self._overload.is_overloaded,
                late_s=round(self._overload.late_s, 3),
                jobs=len(self._jobs),
            )

    def _set_objective(self, job: Job) -> None:
        queue = job.queue
        chain_s = self._run_times.expect_s(queue.name, job.longest_chain_s())
        objective_s = queue.stretch * chain_s + queue.allowance_s
        job.objective_at = job.arrived_at + objective_s
        job.latest_start_at = job.objective_at - chain_s
        job.useless_at = job.arrived_at + LATE_FACTOR * objective_s

    def _check_time(self, job: Job, forecast: Forecast, now: float) -> None:
        if now >= job.deadline_at:
            self._give_up(job, now, "deadline")
            return
        if not job.has_begun and not job.is_kept:
            if job.job_id not in self._unjudged:
                self._refuse_hopeless(job, forecast, now, is_new=False)
            return
        for task in job.ordered:
            self._check_run(job, task, now)

    def _refuse_hopeless(
        self, job: Job, forecast: Forecast, now: float, *, is_new: bool
    ) -> bool:
        """Refuse a job that would end too late to be of use.

        :param job: a job of which nothing has been ordered.
        :param forecast: predicts its wait.
        :param now: the entry's time.
        :param is_new: whether the job has just come.

        :returns: whether it was refused.
        """
        if now < self._settled_at or self._fleet.has_room(job, now):
            return False
        load = self._fleet.load(job, now)
        wait_s = forecast.wait_s(job, load)
        if self._is_young(now):
            # Not all targets are known yet: they are likely to be there.
            wait_s = 0.0
        if is_new and is_servable(job, wait_s):
            return False
        if not is_new and not is_hopeless(job, wait_s, self._run_times, now):
            return False
        self._log(
            Event.JOB_HOPELESS,
            job=job.job_id,
            wait_s=round(wait_s, 3),
            capacity=load.capacity,
            free=load.free,
            others=load.others,
            waiting=len(self._waiting),
        )
        self._give_up(job, now, "too_late", wait_s)
        return True

    def _forecast(self) -> Forecast:
        return Forecast(self._waiting.values(), self._run_times)

    def _is_young(self, now: float) -> bool:
        """Tell whether agents may not have been heard yet."""
        return now - self._started_at < YOUNG_S

    def _check_run(self, job: Job, task: Task, now: float) -> None:
        """Move a run that stands still or is far too slow."""
        view = self._fleet.find(task.agent)
        if view is None or task.stop_sent:
            return
        if now - task.ordered_at < LEAST_ELAPSED_S:
            return
        expected_s = self._expect_run_s(job, task)
        verdict = judge(task, expected_s, now)
        if verdict is Verdict.SOUND:
            return
        if verdict is Verdict.SLOW and not self._is_worth_moving(
            job, task, view, now
        ):
            return
        if verdict is Verdict.STANDS_STILL:
            view.note_failure(now)
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
            verdict=verdict.value,
            percent=task.percent,
            age_s=round(now - task.ordered_at, 3),
            expected_s=round(expected_s, 3),
        )

    def _expect_run_s(self, job: Job, task: Task) -> float:
        peers_s = job.peers_s(task)
        if peers_s is not None:
            return peers_s
        return self._run_times.expect_s(job.queue.name, task.step.declared_s)

    def _is_worth_moving(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> bool:
        """Tell whether a slow run is its target's fault and can move.

        A job whose tasks all take long was declared wrongly: moving them
        would throw their work away.
        """
        is_known = job.peers_s(task) is not None
        if not is_known and not view.slowness.is_slow(now):
            return False
        return self._fleet.has_sound_room(job, task, now)

    def _give_up(
        self, job: Job, now: float, reason: str, wait_s: float = 0.0
    ) -> None:
        outcome = JobOutcome.NOT_RUN
        if job.has_begun:
            outcome = JobOutcome.UNFINISHED
        self._answer(job, outcome, now, reason, wait_s)

    def _answer(
        self,
        job: Job,
        outcome: JobOutcome,
        now: float,
        reason: str,
        wait_s: float = 0.0,
    ) -> None:
        del self._jobs[job.job_id]
        self._waiting.pop(job.job_id, None)
        self._stop_all(job)
        self._log(
            Event.JOB_ENDED,
            job=job.job_id,
            queue=job.queue.name,
            outcome=outcome.value,
            reason=reason,
            took_s=round(now - job.arrived_at, 3),
            over_objective_s=round(now - job.objective_at, 3),
        )
        if job.is_kept:
            self._actions.append(CloseKeptJob(job.job_id, outcome))
            return
        took_s = now - job.arrived_at
        self._actions.append(
            AnswerJob(job.job_id, outcome, retry_after_s(wait_s), took_s)
        )

    def _stop_all(self, job: Job) -> None:
        for task in job.ordered:
            view = self._fleet.find(task.agent)
            if view is None:
                continue
            view.stops.append(task.key)
            view.mark_dirty()

    def _adopt_site(self, site: SiteState, source: str, now: float) -> None:
        adopted = newer(self._site, site)
        if adopted is self._site:
            return
        self._site = adopted
        self._fleet.close_data_centres(adopted.closed_data_centres)
        self._must_place = True
        self._log(
            Event.SITE_STATE_ADOPTED,
            source=source,
            revision=adopted.revision,
            version=adopted.configuration_version,
            closed=adopted.closed_data_centres,
        )
        self._outbox.note_site(adopted, now)

    def _note_progress(
        self, key: TaskKey, percent: int, told_at: float, now: float
    ) -> None:
        """Take in how far a run is.

        :param key: its task.
        :param percent: the share of its work that is done.
        :param told_at: when the target said so, by the entry's time.
        :param now: the entry's time.
        """
        job = self._jobs.get(key.job_id)
        task = None if job is None else job.find(key)
        if job is None or task is None or percent <= task.percent:
            return
        task.percent = percent
        task.progress_at = max(told_at, task.ordered_at)
        self._note_slow_run(job, task, now)

    def _note_slow_run(self, job: Job, task: Task, now: float) -> None:
        """Hold a run that is far slower than expected against its target."""
        view = self._fleet.find(task.agent)
        whole_s = task.whole_run_s
        if view is None or whole_s is None or task.is_noted_slow:
            return
        if now - task.ordered_at < LEAST_ELAPSED_S:
            return
        factor = whole_s / max(self._expect_run_s(job, task), 0.001)
        if factor >= SLOW_FACTOR:
            task.is_noted_slow = True
            view.slowness.note(factor, now)

    def _take_report(
        self, view: AgentView, report: RunReport, now: float
    ) -> None:
        if view.ordered.get(report.task) != report.order:
            # An earlier order's run, which was given up meanwhile.
            return
        del view.ordered[report.task]
        job = self._jobs.get(report.task.job_id)
        task = None if job is None else job.find(report.task)
        if job is None or task is None:
            return
        if task.phase is not TaskPhase.ORDERED or task.agent != view.name:
            return
        match report.end:
            case RunEnd.DONE:
                self._note_done(view, job, task, now)
            case RunEnd.FAILED:
                self._note_failed(view, job, task, now)
            case RunEnd.NOT_STARTED:
                self._note_not_started(view, job, task, report, now)
            case _:
                job.may_have_run = True
                self._log(
                    Event.RUN_CUT_SHORT,
                    job=job.job_id,
                    step=task.key.step,
                    task=task.key.index,
                    agent=view.name,
                    end=report.end.value,
                )
                self._move(job, task, TaskPhase.WAITING)

    def _take_held_end(
        self, view: AgentView, end: KeptEnd, now: float
    ) -> None:
        """Take in an end that must be stored before the target forgets it."""
        key = end.task
        job = self._jobs.get(key.job_id)
        task = None if job is None else job.find(key)
        view.held[end.position] = end
        is_own = end.entry == self._entry
        is_ordered = is_own and view.ordered.get(key) == end.order
        if is_ordered:
            del view.ordered[key]
        if job is None or task is None:
            self._actions.append(TakeKeptEnd(view.name, end, False))
            return
        is_awaited = task.phase is TaskPhase.ORDERED and is_ordered
        is_awaited = is_awaited and task.agent == view.name
        is_counted = is_awaited or job.inherits(task, end.tenure)
        self._actions.append(TakeKeptEnd(view.name, end, is_counted))
        if not is_counted:
            return
        if end.is_done:
            self._note_done(view, job, task, now)
        else:
            self._note_failed(view, job, task, now)

    def _take_strays(self, job: Job, now: float) -> None:
        """Take in what agents hold of a job that is taken over.

        Of several runs of a task only the newest order's can count.
        """
        strays = [
            (end.task, -end.order, end, view)
            for view in self._fleet.views
            for end in view.held.values()
            if end.task.job_id == job.job_id
        ]
        for _, _, end, view in sorted(strays, key=lambda stray: stray[:2]):
            self._take_held_end(view, end, now)

    def _close_kept(self, job: Job, now: float) -> None:
        """Close a job that was taken over with nothing left to do."""
        if job.job_id not in self._jobs:
            return
        most = max((task.failures for task in job.tasks), default=0)
        if job.is_done:
            self._answer(job, JobOutcome.COMPLETED, now, "done")
        elif most >= job.queue.max_attempts:
            self._answer(job, JobOutcome.FAILED, now, "attempts_used_up")

    def _note_done(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        job.may_have_run = True
        view.note_success()
        ran_s = now - task.ordered_at
        expected_s = self._expect_run_s(job, task)
        if not task.is_noted_slow:
            view.slowness.note(ran_s / max(expected_s, 0.001), now)
        task.ran_s = ran_s
        self._move(job, task, TaskPhase.DONE)
        self._run_times.note(job.queue.name, task.step.declared_s, ran_s)
        if job.is_done:
            self._answer(job, JobOutcome.COMPLETED, now, "done")
            return
        job.unblock()
        self._note_waiting(job)

    def _note_failed(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        job.may_have_run = True
        task.failures += 1
        task.failed_on.add(view.name)
        self._move(job, task, TaskPhase.WAITING)
        view.note_failure(now)
        self._log(
            Event.RUN_FAILED,
            job=job.job_id,
            step=task.key.step,
            task=task.key.index,
            agent=view.name,
            failures=task.failures,
            agent_failures=view.failures,
        )
        if task.failures >= job.queue.max_attempts:
            self._answer(job, JobOutcome.FAILED, now, "attempts_used_up")

    def _note_not_started(
        self,
        view: AgentView,
        job: Job,
        task: Task,
        report: RunReport,
        now: float,
    ) -> None:
        self._move(job, task, TaskPhase.WAITING)
        view.refused_at = now
        if report.refusal is not RefusalReason.NO_ROOM:
            self._log(
                Event.RUN_NOT_STARTED,
                job=job.job_id,
                step=task.key.step,
                task=task.key.index,
                agent=view.name,
                reason=report.refusal.value if report.refusal else None,
            )

    def _give_up_agent(self, view: AgentView, now: float) -> None:
        """Count all runs of a silent agent as ended."""
        self._log(
            Event.AGENT_SILENT,
            agent=view.name,
            silent_s=round(now - view.heard_at, 3),
            runs=len(view.ordered),
        )
        for key in sorted(view.ordered):
            job = self._jobs.get(key.job_id)
            task = None if job is None else job.find(key)
            if job is None or task is None or task.agent != view.name:
                continue
            if task.phase is TaskPhase.ORDERED:
                job.may_have_run = True
                self._move(job, task, TaskPhase.WAITING)
                self._renew_tenure(job)
        view.ordered.clear()

    def _renew_tenure(self, job: Job) -> None:
        """Order nothing of a kept job until its new tenure is stored.

        A run was given up that may have ended well: the agent may hold its
        end, which must not count once the task is ordered again.
        """
        if job.is_kept and job.held_until < float("inf"):
            job.held_until = float("inf")
            self._actions.append(RenewTenure(job.job_id))

    def _place(self, now: float) -> None:
        if now < self._settled_at:
            return
        if not self._waiting:
            return
        # Jobs that can still be on time go first, the most urgent of them
        # at the head; those that are late share what is left.
        waiting = sorted(
            self._waiting.values(),
            key=lambda job: (
                now > job.latest_start_at and not job.may_have_run,
                job.latest_start_at,
                job.job_id,
            ),
        )
        passed_over = 0
        usable: dict[ServiceName, list[AgentView]] = {}
        for job in waiting:
            if now < job.held_until:
                continue
            service = job.queue.service
            if service not in usable:
                usable[service] = self._fleet.usable(job, now)
            views = usable[service]
            if not views:
                continue
            if not self._place_job(job, views, now):
                passed_over += 1
            if passed_over >= MOST_PASSED_OVER:
                return

    def _place_job(self, job: Job, views: list[AgentView], now: float) -> bool:
        """Order as many of a job's tasks as there is room for.

        :returns: whether all of them found room.
        """
        is_complete = True
        placement = self._fleet.placement(job, views, now)
        for task in job.waiting:
            if self._fleet.is_held(task.key):
                # A run for an earlier attempt has not surely ended.
                is_complete = False
                continue
            view = placement.choose(task)
            if view is None:
                is_complete = False
                continue
            self._order(job, task, view, now)
        return is_complete

    def _wants(self, key: TaskKey) -> bool:
        """Tell whether a run of a task is still of use."""
        job = self._jobs.get(key.job_id)
        task = None if job is None else job.find(key)
        return task is not None and task.phase is TaskPhase.ORDERED

    def _order(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> None:
        self._move(job, task, TaskPhase.ORDERED)
        task.agent = view.name
        task.ordered_at = now
        task.percent = 0
        task.progress_at = now
        task.stop_sent = False
        task.is_noted_slow = False
        self._order_number += 1
        view.add(
            StartOrder(
                task=task.key,
                service=job.queue.service,
                demand=task.step.demand,
                payload=job.spec.payload,
                order=self._order_number,
                required_label=task.step.required_label,
                tenure=job.tenure,
            )
        )

    def settle(self, now: float) -> list[DispatchAction]:
        """Place, ask and send, after jobs and messages were taken in.

        Several that come together share this: it is most of the work.
        """
        return self._finish(now)

    def _defer(self) -> list[DispatchAction]:
        """Leave to `settle` what can be done for several inputs at once."""
        self._is_unsettled = True
        actions = self._actions
        self._actions = []
        return actions

    def _finish(self, now: float) -> list[DispatchAction]:
        self._is_unsettled = False
        self._judge_new(now)
        if self._must_place and not self._waker.is_surveying(now):
            self._must_place = False
            self._place(now)
        self._waker.ask(self._waiting.values(), now)
        self._actions += self._outbox.collect(self._waiting.values(), now)
        actions = self._actions
        self._actions = []
        self._next_tick_s = self.tick_pause_s(now)
        return actions

    def _log(self, event: Event, **fields: Any) -> None:
        self._actions.append(LogDecision(event, fields))
