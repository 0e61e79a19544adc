"""A virtual site that plays a workload with the code of the users' platform.

Entries run the real dispatcher and agents the real run guard. Differs from
`features.support.run_site` in that every job has its own demand and run
times, targets are of unequal size, and requests to targets may go unanswered
and be carried out seconds later.
"""

from __future__ import annotations

from random import Random
from statistics import median
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from features.support.run_site import AgentNode
from features.support.run_site import EntryNode
from features.support.run_site import FakeTarget
from features.support.run_site import HEARTBEAT_INTERVAL_S
from features.support.run_site import HOP_DELAY_S
from features.support.run_site import RunSite
from features.support.run_site import SERVICE
from features.support.run_site import TICK_S
from features.support.run_site import VirtualClock
from fulmarscale.agent.response_timeout import ResponseTimeout
from fulmarscale.agent.run import StartResponse
from fulmarscale.agent.run_process import IDLE_POLL_S
from fulmarscale.agent.run_process import LOSSY_RENEW_WAIT_S
from fulmarscale.agent.run_process import MAX_FAILED_RENEWALS
from fulmarscale.agent.run_process import RENEW_WAIT_S
from fulmarscale.agent.run_process import UNREACHABLE_RETRY_S
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.site_config import Queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.support.dispatch_workload import FaultKind
    from features.support.dispatch_workload import JobDraw
    from features.support.dispatch_workload import Workload
    from fulmarscale.agent.run_actions import SendMessage
    from fulmarscale.agent.run_actions import StartRun
    from fulmarscale.agent.run_actions import StopRun
    from fulmarscale.entry.jobs.actions import SendEntryMessage
    from fulmarscale.runs.model import TaskKey

RESPONSE_S: Final = 0.002
"""Time that a target takes to respond."""

LATE_EXECUTION_S: Final = (2.0, 12.0)
"""When a request that got no response is carried out."""

RESTART_S: Final = (0.3, 0.9)
"""Time that a process takes to start."""

MEMORY_MB: Final = 64
"""Memory demand of each task."""


class BenchTarget(FakeTarget):
    """A target whose tasks have run times of their own."""

    def __init__(
        self,
        clock: VirtualClock,
        name: str,
        cores: int,
        runs_s: dict[str, tuple[float, ...]],
        speed: float = 1.0,
    ) -> None:
        super().__init__(clock, name, cores)
        self._runs_s = runs_s
        self.speed = speed
        """Speed of its runs; 1 takes the true run times of the tasks."""
        self.racks: dict[str, str] = {}
        """The rack of each job's data."""
        self.far_factor = 1.0
        """Factor on the run times of jobs with data on other racks."""
        self.notices: list[tuple[float, float]] = []
        """When it announced its end, and the announced end."""
        self.unanswered_share = 0.0
        """Share of the requests that get no response and are late."""
        self.on_completion: list[Callable[[], None]] = []
        """Called once when the next run ends."""

    def _work_s(self, action: StartRun) -> float:
        job_id = action.task.job_id
        work_s = self._runs_s[job_id][action.task.index]
        rack = self.racks.get(job_id, "")
        if rack and rack not in self.labels:
            work_s *= self.far_factor
        return work_s / self.speed

    def _finish(self, task: Any, number: int, outcome: Any) -> None:
        super()._finish(task, number, outcome)
        callbacks, self.on_completion = self.on_completion, []
        for callback in callbacks:
            callback()


class BenchAgent(AgentNode):
    """An agent with the timing of the driver in `agent.run_process`."""

    target: BenchTarget

    def __init__(
        self,
        site: DispatchSite,
        target: BenchTarget,
        incarnation: int,
        first_heartbeat_s: float,
    ) -> None:
        self._random = Random(f"{site.seed}/{target.name}/{incarnation}")
        self._timeout = ResponseTimeout()
        self.lost_starts: list[tuple[TaskKey, float]] = []
        """Tasks and times of the start requests that got no response."""
        self._failed_renewals = 0
        super().__init__(site, target, incarnation, first_heartbeat_s)

    def _is_unanswered(self) -> bool:
        return self._random.random() < self.target.unanswered_share

    def _late_s(self) -> float:
        return self._random.uniform(*LATE_EXECUTION_S)

    def _later(self, pause_s: float, action: Callable[[], None]) -> None:
        self._clock.call_in(pause_s, lambda: self.call_or_defer(action))

    def _renew_lease(self) -> None:
        self._poll_number = 0
        self._poll_after(TICK_S)

    def _poll_after(self, pause_s: float) -> None:
        """Schedule the next poll; it replaces one that is scheduled."""
        self._poll_number += 1
        number = self._poll_number
        self._is_poll_scheduled = True

        def poll() -> None:
            if number == self._poll_number:
                self._is_poll_scheduled = False
                self._poll()

        self._later(pause_s, poll)

    def _poll(self) -> None:
        """Poll the target once, then again after its response."""
        if self.guard.target is None:
            self._poll_after(TICK_S)
            return
        requested_at = self._clock.now
        extend = self.guard.may_renew
        if extend:
            self.guard.record_renewal(requested_at)
        wait_s = self._renew_wait_s()
        target = self.target
        if not target.is_up:
            self._later(HOP_DELAY_S, self._poll_failed)
            return
        target.highest_token = max(target.highest_token, self.fencing_token)
        if target.is_unresponsive or self._is_unanswered():
            self._lose(wait_s, self._poll_failed)
            return
        if extend:
            target.extend(requested_at + LEASE_S)
        born = target.incarnation
        position = self.guard.forgettable_position(requested_at)
        is_answered = False

        def respond() -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            if not target.is_up or target.incarnation != born:
                self._later(HOP_DELAY_S, self._poll_failed)
                return
            listed = target.list_runs(position)
            self._later(RESPONSE_S / 2, lambda: receive(listed))

        def receive(listed: Any) -> None:
            self._failed_renewals = 0
            if wait_s == 0:
                self._timeout.record_response(RESPONSE_S)
            self.perform(
                self.guard.update_runs(listed, requested_at, self._clock.now)
            )
            self._poll_after(IDLE_POLL_S if self.guard.is_idle else 0.0)

        has_completion = any(
            completion.position > position for completion in target.completions
        )
        if wait_s > 0 and not has_completion:
            target.on_completion.append(
                lambda: self._clock.call_in(0.0, respond)
            )
            self._clock.call_in(wait_s, respond)
        else:
            self._clock.call_in(RESPONSE_S / 2, respond)

    def _renew_wait_s(self) -> float:
        guard = self.guard
        if guard.must_list_at_once:
            return 0.0
        if self._failed_renewals or not guard.is_target_available:
            return 0.0
        if self._timeout.is_losing(self._clock.now):
            return LOSSY_RENEW_WAIT_S
        return RENEW_WAIT_S

    def _lose(self, wait_s: float, action: Callable[[], None]) -> None:
        """Act once the response to a request has not come in time."""

        def give_up() -> None:
            self._timeout.record_loss(self._clock.now)
            action()

        self._later(wait_s + self._timeout.timeout_s, give_up)

    def _poll_failed(self) -> None:
        self._failed_renewals += 1
        if self._failed_renewals < MAX_FAILED_RENEWALS:
            self._poll_after(0.0)
            return
        self.perform(
            self.guard.mark_target_unavailable(
                "no answer",
                self._clock.now,
                is_refused=self.target.refuses_connections,
            )
        )
        self._poll_after(UNREACHABLE_RETRY_S)

    def _start(self, action: StartRun) -> None:
        until = self._clock.now + LEASE_S
        target = self.target
        if self._is_poll_scheduled:
            self._poll_after(0.0)

        def resolve(response: StartResponse) -> None:
            self.perform(
                self.guard.resolve_start(
                    action.incarnation,
                    action.task,
                    action.number,
                    response,
                    self._clock.now,
                )
            )

        if not target.is_up:
            self._later(HOP_DELAY_S, lambda: resolve(StartResponse.REJECTED))
            return
        token = self.fencing_token
        if target.is_unresponsive or self._is_unanswered():
            self.lost_starts.append((action.task, self._clock.now))
            born = target.incarnation

            def deliver_late() -> None:
                if target.incarnation != born or not target.is_up:
                    # The process that had received it has ended.
                    return
                # The worst case: the lease counts from the arrival.
                target.start(action, self._clock.now + LEASE_S, token)

            self._clock.call_in(self._late_s(), deliver_late)
            self._lose(0.0, lambda: resolve(StartResponse.UNKNOWN))
            return

        def deliver() -> None:
            response = target.start(action, until, token)
            self._later(RESPONSE_S / 2, lambda: receive(response))

        def receive(response: StartResponse) -> None:
            self._timeout.record_response(RESPONSE_S)
            resolve(response)

        self._clock.call_in(RESPONSE_S / 2, deliver)

    def _list_runs(self) -> None:
        if self.target.is_up and self._is_unanswered():
            self._lose(0.0, lambda: None)
            return
        super()._list_runs()

    def _stop(self, action: StopRun) -> None:
        target = self.target

        def resolve(record: Callable[..., list[Any]]) -> None:
            self.perform(
                record(
                    action.incarnation,
                    action.task,
                    action.number,
                    self._clock.now,
                )
            )

        def fail() -> None:
            resolve(self.guard.record_stop_failure)

        if not target.is_up:
            self._later(HOP_DELAY_S, fail)
            return
        if target.is_unresponsive or self._is_unanswered():
            self._clock.call_in(self._late_s(), lambda: target.stop(action))
            self._lose(0.0, fail)
            return

        def acknowledge() -> None:
            self._timeout.record_response(RESPONSE_S)
            resolve(self.guard.record_stop_ack)

        def deliver() -> None:
            target.stop(action)
            self._later(RESPONSE_S / 2, acknowledge)

        self._clock.call_in(RESPONSE_S / 2, deliver)


class DispatchSite(RunSite):
    """Plays the jobs and faults of a workload.

    :param workload: the workload.
    :param jobs: the jobs, in order of arrival.
    :param seed: the seed of everything else that is drawn.
    """

    def __init__(
        self, workload: Workload, jobs: list[JobDraw], seed: int
    ) -> None:
        self.workload = workload
        self.far_factor = workload.far_factor
        self.seed = seed
        self._random = Random(f"{seed}/faults")
        self._jobs = {job.name: job for job in jobs}
        self._runs_s = {job.name: job.runs_s for job in jobs}
        self._sizes = iter(
            zip(
                workload.cores,
                workload.speeds or [1.0] * len(workload.cores),
                strict=True,
            )
        )
        self._queues = {
            kind.name: Queue(
                name=QueueName(kind.name),
                host="site.example",
                path_prefix=f"/{kind.name}/",
                service=SERVICE,
                max_attempts=4,
                priority=kind.priority,
                stretch=workload.stretch,
                allowance_s=workload.allowance_s,
            )
            for kind in workload.kinds
        }
        self.completed_at: dict[str, float] = {}
        """When each job was answered as completed."""
        self.rejected_at: dict[str, float] = {}
        """When each job was first rejected."""
        self.failed: set[str] = set()
        """Jobs that were answered as failed."""
        self.crashing_jobs: set[str] = set()
        """Jobs whose first task crashes targets."""
        self.slowed_targets: set[str] = set()
        """Names of the targets that a fault has slowed down."""
        self.refused_starts = 0
        """Start requests that agents refused for lack of capacity."""
        self.messages = 0
        """Messages between entries and agents."""
        super().__init__(workload.entries, len(workload.cores), warm_up_s=2.0)
        self.began_at = self.clock.now
        """When the first job could arrive, in virtual time."""
        for fault in workload.faults:
            if fault.kind == "crashing_tasks":
                self._choose_crashing_jobs(fault)
        for job in jobs:
            self.clock.call_in(
                job.arrives_s, lambda job=job: self._send(job, job.entry)
            )
        for fault in workload.faults:
            self.clock.call_in(
                fault.at_s, lambda fault=fault: self._begin(fault)
            )

    @property
    def jobs(self) -> list[JobDraw]:
        """All jobs of the workload."""
        return list(self._jobs.values())

    @property
    def served_share(self) -> float:
        """Share of the jobs that were answered as completed."""
        return len(self.completed_at) / len(self._jobs)

    @property
    def held_jobs(self) -> list[str]:
        """Jobs whose callers waited until their deadline in vain."""
        answered = self.completed_at.keys() | self.rejected_at.keys()
        return sorted(self._jobs.keys() - answered - self.failed)

    @property
    def elapsed_s(self) -> float:
        """Time since the first job could arrive, in seconds."""
        return self.clock.now - self.began_at

    def make_queues(self) -> tuple[Queue, ...]:
        """Return the queues, one for each kind of jobs."""
        return tuple(self._queues.values())

    def make_target(self, name: str, cores: int) -> BenchTarget:
        """Start a target with the next size of the workload."""
        own_cores, speed = next(self._sizes)
        target = BenchTarget(self.clock, name, own_cores, self._runs_s, speed)
        if self.workload.targets_per_rack:
            number = int(name.removeprefix("t"))
            rack = number // self.workload.targets_per_rack
            target.labels = (f"rack-{rack}",)
            target.racks = {job.name: job.rack for job in self._jobs.values()}
            target.far_factor = self.workload.far_factor
        return target

    def make_agent(
        self,
        target: FakeTarget,
        incarnation: int,
        first_heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ) -> BenchAgent:
        """Start the agent of a target."""
        assert isinstance(target, BenchTarget)
        return BenchAgent(self, target, incarnation, first_heartbeat_s)

    def make_entry(self, name: str, incarnation: int) -> BenchEntry:
        """Start an entry."""
        return BenchEntry(self, name, incarnation)

    def deliver_to_entry(self, agent: AgentNode, action: SendMessage) -> None:
        """Count and deliver an agent's message."""
        self.messages += 1
        self.refused_starts += sum(
            report.refusal is RefusalReason.NO_ROOM
            for report in action.message.reports
        )
        super().deliver_to_entry(agent, action)

    def deliver_to_agent(
        self, entry: EntryNode, action: SendEntryMessage
    ) -> None:
        """Count and deliver an entry's message."""
        self.messages += 1
        super().deliver_to_agent(entry, action)

    def median_restart_s(self) -> float:
        """Return the median time from a lost start to the task's next run.

        Only of tasks that were started again.
        """
        starts: dict[TaskKey, list[float]] = {}
        for run in self.history:
            starts.setdefault(run.task, []).append(run.started_at)
        pauses_s = []
        for agent in self.agents:
            assert isinstance(agent, BenchAgent)
            for task, lost_at in agent.lost_starts:
                later = [at for at in starts.get(task, []) if at > lost_at]
                if later:
                    pauses_s.append(later[0] - lost_at)
        return median(pauses_s)

    def _send(self, job: JobDraw, number: int) -> None:
        """Send a job to an entry, and again later if the connection breaks."""
        entry = self.entries[number]
        assert isinstance(entry, BenchEntry)
        if not entry.is_up:
            self.resend(job.name)
            return
        queue = self._queues[job.kind.name]
        step = Step(
            len(job.runs_s),
            Resources(job.millicores, MEMORY_MB, 0),
            job.declared_s,
            data_rack=job.rack,
        )
        wait_s = self._wait_until_s(job) - self.elapsed_s
        entry.take(JobId(job.name), queue, JobSpec("", (step,)), wait_s)

    def resend(self, name: str) -> None:
        """Send a job again, at another entry, after the caller's pause."""
        if name in self.completed_at or name in self.rejected_at:
            return
        job = self._jobs[name]
        number = self._random.randrange(len(self.entries))
        resent_at_s = self.elapsed_s + self.workload.resend_s
        if resent_at_s > self._wait_until_s(job):
            return
        self.clock.call_in(
            self.workload.resend_s, lambda: self._send(job, number)
        )

    def _wait_until_s(self, job: JobDraw) -> float:
        """Return when the caller of a job stops waiting."""
        return (
            job.arrives_s
            + 3 * job.objective_s(self.workload)
            + self.workload.deadline_s
        )

    def _choose_crashing_jobs(self, fault: FaultKind) -> None:
        """Choose the jobs of a fault whose first task crashes targets."""
        random = Random(f"{self.seed}/crashing_tasks/{fault.at_s}")
        for job in self.jobs:
            is_chosen = random.random() < fault.share
            is_hit = 0 <= job.arrives_s - fault.at_s < fault.for_s
            if is_chosen and is_hit and job.kind.name == fault.job_kind:
                self.crashing_jobs.add(job.name)
                self.make_task_crash_targets(job.name, 0)
        for target in self.targets:
            target.crash_delay_s = fault.x

    def _begin(self, fault: FaultKind) -> None:
        match fault.kind:
            case "burst" | "crashing_tasks":
                return
            case "power_loss":
                for entry in list(self.entries):
                    self._restart_entry(entry, fault.for_s)
                for agent in list(self.agents):
                    down_s = fault.for_s + self._random.uniform(*RESTART_S)
                    self.restart_agent(agent, down_s)
                return
            case "entry_kill":
                entry = self._random.choice(self.entries)
                self._restart_entry(entry, fault.for_s)
                return
            case "agent_kill":
                for agent in self._random.sample(
                    self.agents, max(1, round(fault.share * len(self.agents)))
                ):
                    self.restart_agent(agent, fault.for_s)
                return
        count = max(1, round(fault.share * len(self.targets)))
        if fault.kind == "unanswered":
            count = len(self.targets)
        chosen = self._random.sample(self.targets, count)
        for target in chosen:
            assert isinstance(target, BenchTarget)
            self._affect(target, fault)

    def _affect(self, target: BenchTarget, fault: FaultKind) -> None:
        """Begin a fault of one target and schedule its end."""

        def end() -> None:
            target.unanswered_share = 0.0
            target.work_factor = 1.0
            target.is_failing = False
            target.is_hung = False

        match fault.kind:
            case "unanswered":
                target.unanswered_share = fault.share
            case "crash":
                target.crash(fault.for_s)
            case "leave":
                self._give_notice(target, fault)
            case "slow":
                target.work_factor = fault.x
                self.slowed_targets.add(target.name)
            case "failing":
                target.is_failing = True
            case "hanging":
                target.is_hung = True
            case _:
                raise ValueError(f"unknown kind of fault: {fault.kind}")
        if fault.kind not in ("crash", "leave"):
            self.clock.call_in(fault.for_s, end)

    def _give_notice(self, target: BenchTarget, fault: FaultKind) -> None:
        """Announce that a target leaves, and end it; another takes over."""

        def leave() -> None:
            target.crash(fault.for_s)
            target.state = TargetState.READY
            target.leaves_at = None

        target.state = TargetState.DRAINING
        target.leaves_at = self.clock.now + fault.x
        target.notices.append((self.clock.now, target.leaves_at))
        self.clock.call_in(fault.x, leave)

    def _restart_entry(self, entry: EntryNode, down_s: float) -> None:
        """Kill an entry and start a new process after a while."""
        assert isinstance(entry, BenchEntry)
        if not entry.is_up:
            return
        self.kill_entry(entry)
        for name in sorted(entry.open_jobs):
            self.resend(name)
        pause_s = down_s + self._random.uniform(*RESTART_S)
        number = self.entries.index(entry)

        def start_again() -> None:
            self._last_incarnation += 1
            new = self.make_entry(entry.name, self._last_incarnation)
            self.entries[number] = new
            new.perform(
                new.dispatcher.adopt_site_config(
                    self.site_config, self.clock.now
                )
            )
            self.report_agents(new)

        self.clock.call_in(pause_s, start_again)


class BenchEntry(EntryNode):
    """An entry that tells the site the answers to its callers."""

    def __init__(
        self, site: DispatchSite, name: str, incarnation: int
    ) -> None:
        self._bench = site
        self.open_jobs: set[str] = set()
        """Jobs that callers wait for."""
        super().__init__(site, name, incarnation)

    def take(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> None:
        """Take a job from a caller."""
        self.open_jobs.add(job_id)
        self.call_or_defer(
            lambda: self.perform(
                self.dispatcher.submit(
                    job_id, queue, spec, wait_s, self._clock.now
                )
            )
        )

    def perform(self, actions: list[Any]) -> None:
        """Perform actions, and pass answers on to the site."""
        super().perform(actions)
        for name in list(self.open_jobs & self.answers.keys()):
            self.open_jobs.discard(name)
            answer = self.answers.pop(JobId(name))
            match answer.outcome:
                case JobOutcome.COMPLETED:
                    self._bench.completed_at[name] = self._bench.elapsed_s
                case JobOutcome.NOT_RUN:
                    self._bench.rejected_at[name] = self._bench.elapsed_s
                case JobOutcome.FAILED:
                    self._bench.failed.add(name)
                case JobOutcome.UNFINISHED:
                    self._bench.resend(name)
                case _:
                    pass
