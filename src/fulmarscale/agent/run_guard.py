"""Guards one target: what starts on it, and that runs end in time.

The guard has the last word on a start. It counts what starts and what is
being stopped against the target's capacity, keeps the lease of all runs, and
ends the runs of an entry that it no longer hears. It holds no socket and no
clock.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.agent.entry_session import choose_favoured
from fulmarscale.agent.entry_session import Session
from fulmarscale.agent.held_ends import HeldEnds
from fulmarscale.agent.run import Run
from fulmarscale.agent.run import RunPhase
from fulmarscale.agent.run import StartAnswer
from fulmarscale.agent.run_actions import CloseStream
from fulmarscale.agent.run_actions import LogDecision
from fulmarscale.agent.run_actions import SendMessage
from fulmarscale.agent.run_actions import StartRun
from fulmarscale.agent.run_actions import StopRun
from fulmarscale.errors import require
from fulmarscale.events import Event
from fulmarscale.runs.limits import BUSY_TICK_S
from fulmarscale.runs.limits import CLOCK_SLACK
from fulmarscale.runs.limits import FRESH_S
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import IDLE_TICK_S
from fulmarscale.runs.limits import LAPSE_MARGIN_S
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.limits import PING_S
from fulmarscale.runs.limits import SILENCE_S
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import KeptEnd
from fulmarscale.runs.messages import RunProgress
from fulmarscale.runs.messages import RunReport
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_state import must_hand_on
from fulmarscale.runs.site_state import newer
from fulmarscale.runs.site_state import SiteState
from fulmarscale.wire.messages import AgentToken

if TYPE_CHECKING:
    from fulmarscale.agent.run import ListedEnd
    from fulmarscale.agent.run import ListedRun
    from fulmarscale.agent.run import RunList
    from fulmarscale.agent.run_actions import RunAction
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import StartOrder
    from fulmarscale.runs.model import TargetReport

COUNTED_ENDS: Final = (RunEnd.DONE, RunEnd.FAILED)
"""Ends that change what is left to do of a job."""

STOP_RETRY_S: Final = 0.3
"""Time after which a stop without an answer is sent again."""

NUMBER_MEMORY_S: Final = 60.0
"""How long the highest run number of a task is remembered.

Longer than any caller tries the same job again.
"""

END_MEMORY_S: Final = 5.0
"""How long an end is kept for an entry whose stream broke."""

FORGET_PAUSE_S: Final = 1.0
"""Time between looks for what is too old to be kept."""


class RunGuard:
    """The decisions of one agent about runs."""

    def __init__(self, name: str, data_centre: str, incarnation: int) -> None:
        self._name = name
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._site = SiteState()
        self._site_since = float("-inf")
        self._target: TargetReport | None = None
        self._target_sequence = 0
        self._is_listed = False
        self._lapses_at = float("-inf")
        self._held = HeldEnds()
        self._runs: dict[TaskKey, Run] = {}
        self._orphans: dict[TaskKey, int] = {}
        self._numbers: dict[TaskKey, tuple[int, float]] = {}
        self._ends: dict[TaskKey, tuple[RunReport, float]] = {}
        self._sessions: dict[str, Session] = {}
        self._echoes: dict[EntryId, float] = {}
        self._next_target: tuple[TargetReport, int] | None = None
        self._forgot_at = float("-inf")
        self._is_stopping = False
        self._favoured: Session | None = None
        self._entries_with_runs: set[EntryId] = set()
        self._actions: list[RunAction] = []

    @property
    def name(self) -> str:
        """The agent's name."""
        return self._name

    @property
    def site(self) -> SiteState:
        """What operators have set, as far as known here."""
        return self._site

    @property
    def target(self) -> TargetReport | None:
        """The target as it described itself last."""
        return self._target

    @property
    def is_listed(self) -> bool:
        """Whether the target answers and its runs are known."""
        return self._is_listed

    @property
    def may_renew(self) -> bool:
        """Whether the lease may be extended.

        Not while the target gives no answer: then all runs are to end with
        the lease, which tells when they surely have. Nor while an end is
        held that must never count.
        """
        if self._held.must_lapse:
            return False
        return self._is_listed or not self._runs

    @property
    def is_at_rest(self) -> bool:
        """Whether nothing runs, so that the target need not be asked soon."""
        is_idle = not (self._runs or self._orphans or self._held.ends)
        return is_idle and self._is_listed

    @property
    def last_seen(self) -> int:
        """The newest place in the target's list of ends to be forgotten."""
        return self._held.last_seen

    @property
    def held_ends(self) -> int:
        """Ends that wait to be stored."""
        return len(self._held.ends)

    @property
    def runs(self) -> int:
        """Runs that start, run or are being stopped."""
        return len(self._runs)

    @property
    def sessions(self) -> int:
        """Entries that are connected."""
        return len(self._sessions)

    @property
    def used(self) -> Resources:
        """What all runs take.

        What an orphan takes is unknown, so there is no room until all of
        them have ended.
        """
        if self._orphans and self._target is not None:
            return self._target.capacity
        total = Resources()
        for run in self._runs.values():
            total += run.demand
        return total

    def tick_pause_s(self, now: float) -> float:
        """Tell how soon the next tick has to come, in seconds.

        :param now: the agent's time.
        """
        is_busy = self._runs or self._next_target or self._held.ends
        is_asked = any(each.backlog > 0 for each in self._sessions.values())
        return BUSY_TICK_S if is_busy or is_asked else IDLE_TICK_S

    def open_session(
        self, number: int, entry: EntryId, now: float
    ) -> list[RunAction]:
        """Take in a new stream of an entry.

        :param number: names the stream.
        :param entry: the entry's life.
        :param now: the agent's time.
        """
        known = self._sessions.get(entry.name)
        if known is not None:
            self._actions.append(CloseStream(known.number))
        session = Session(number, entry, now)
        self._sessions[entry.name] = session
        self._log(Event.ENTRY_CONNECTED, entry=entry.name)
        if known is not None and known.entry != entry:
            self._stop_all_of(known.entry, now)
        return self._finish(now)

    def close_session(self, number: int, now: float) -> list[RunAction]:
        """Note that a stream ended.

        Its entry's runs go on for a while, as it may connect again.
        """
        for name, session in list(self._sessions.items()):
            if session.number != number:
                continue
            del self._sessions[name]
            self._log(
                Event.ENTRY_DISCONNECTED,
                entry=name,
                echo_age_s=_rounded(self._echo_age_s(session.entry, now)),
            )
        return self._finish(now)

    def receive(
        self, number: int, message: EntryMessage, now: float
    ) -> list[RunAction]:
        """Carry out an entry's message."""
        session = self._sessions.get(message.entry.name)
        if session is None or session.number != number:
            return []
        session.asked_sequence = message.sequence
        session.site_revision = message.site_revision
        session.has_kept_jobs = message.has_kept_jobs
        session.backlog = message.backlog
        session.urgent_at = now + message.slack_s
        session.is_asked = session.is_asked or message.asks
        if message.starts:
            session.offered_at = float("-inf")
        if message.site is not None:
            self._adopt_site(message.site, session.entry.name, now)
        echo = message.echo
        if echo is not None and echo.incarnation == self._incarnation:
            known = self._echoes.get(message.entry, float("-inf"))
            self._echoes[message.entry] = max(known, echo.time_s)
        session.expected.update(message.expected)
        for receipt in message.receipts:
            self._settle_end(receipt, session)
        for task in message.stops:
            self._withdraw(session, task, now)
        for order in message.starts:
            self._take(session, order, now)
        return self._finish(now)

    def adopt_site(self, site: SiteState, now: float) -> list[RunAction]:
        """Take in what was read from the store."""
        self._adopt_site(site, "store", now)
        return self._finish(now)

    def see_target(
        self, report: TargetReport, sequence: int, now: float
    ) -> list[RunAction]:
        """Take in a heartbeat.

        :param report: what the target says of itself.
        :param sequence: rises with each heartbeat of one life.
        :param now: the agent's time.
        """
        known = self._target
        if known is not None and known.life == report.life:
            if sequence > self._target_sequence:
                self._target_sequence = sequence
                self._update_target(report)
            return self._finish(now)
        if known is not None and self._is_listed:
            # A heartbeat of an earlier life can arrive late.
            self._log(
                Event.HEARTBEAT_IGNORED,
                target=report.life.target,
                born_ms=report.life.born_ms,
            )
            return self._finish(now)
        self._next_target = (report, sequence)
        self._follow_next_target(now)
        return self._finish(now)

    def lose_target(self, reason: str, now: float) -> list[RunAction]:
        """Note that the target gave no usable answer."""
        if self._is_listed:
            self._is_listed = False
            self._tell_all()
            self._log(Event.TARGET_UNREACHABLE, reason=reason)
        return self._finish(now)

    def renew(self, sent_at: float) -> None:
        """Note that a call was sent that extends the lease."""
        lapses_at = sent_at + LEASE_S * CLOCK_SLACK + LAPSE_MARGIN_S
        self._lapses_at = max(self._lapses_at, lapses_at)

    def list_runs(
        self, listed: RunList, asked_at: float, now: float
    ) -> list[RunAction]:
        """Take in the target's list of runs.

        :param listed: the target's answer.
        :param asked_at: when the request was sent.
        :param now: the agent's time.
        """
        target = self._target
        if target is None or listed.life.target != target.life.target:
            return self._finish(now)
        if listed.life != target.life:
            # The target started again under the same id. What it has now
            # its next heartbeat tells; nothing starts there before.
            self._end_life(now)
            self._target = None
            self._log(
                Event.TARGET_REBORN,
                target=listed.life.target,
                born_ms=listed.life.born_ms,
            )
            return self._finish(now)
        if not self._is_listed:
            self._is_listed = True
            self._tell_all()
            self._log(Event.TARGET_REACHED, target=target.life.target)
        for end in listed.ended:
            if self._held.is_news(end.position):
                self._take_end(end, now)
        self._compare(listed, asked_at, now)
        return self._finish(now)

    def settle_start(
        self,
        life: TargetLife,
        task: TaskKey,
        number: int,
        answer: StartAnswer,
        now: float,
    ) -> list[RunAction]:
        """Take in the target's answer to a start."""
        run = self._find(life, task, number)
        if run is None:
            return self._finish(now)
        run.settled_at = now
        match answer:
            case StartAnswer.STARTED:
                run.confirmed = True
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.RUNNING
            case StartAnswer.UNKNOWN:
                self._log(
                    Event.START_UNCONFIRMED,
                    task=_text(task),
                    run=number,
                )
                self._stop(run, now)
            case _:
                self._end(run, RunEnd.NOT_STARTED, now, RefusalReason.REJECTED)
        return self._finish(now)

    def settle_stop(
        self, life: TargetLife, task: TaskKey, number: int, now: float
    ) -> list[RunAction]:
        """Note that the target acknowledged a stop."""
        run = self._find(life, task, number)
        if run is not None:
            run.stop_acknowledged_at = min(run.stop_acknowledged_at, now)
        return self._finish(now)

    def stop_taking(self, now: float) -> list[RunAction]:
        """Take no new runs, as the agent is about to stop."""
        self._is_stopping = True
        self._tell_all()
        return self._finish(now)

    def tick(self, now: float) -> list[RunAction]:
        """Note that time has passed."""
        self._end_lapsed(now)
        self._follow_next_target(now)
        for entry in sorted({run.entry for run in self._runs.values()}):
            if self._echo_age_s(entry, now) > SILENCE_S:
                self._stop_all_of(entry, now)
        for session in self._sessions.values():
            if self._echo_age_s(session.entry, now) > SILENCE_S:
                # Room is not offered to an entry that may be gone.
                session.backlog = 0
            if self._must_hand_on(session, now):
                session.is_asked = True
        for run in self._runs.values():
            self._repeat_stop(run, now)
        self._check_held(now)
        self._forget(now)
        return self._finish(now)

    def _echo_age_s(self, entry: EntryId, now: float) -> float:
        return now - self._echoes.get(entry, float("-inf"))

    def _must_hand_on(self, session: Session, now: float) -> bool:
        """Tell whether an entry is to be handed the state of the site."""
        told = session.site_revision
        return must_hand_on(self._site, self._site_since, told, now)

    def _follow_next_target(self, now: float) -> None:
        """Follow another life once the runs of the former have ended."""
        if self._next_target is None or self._is_listed:
            return
        if self._runs and now <= self._lapses_at:
            return
        report, sequence = self._next_target
        self._begin_life(report, sequence, now)

    def _adopt_site(self, site: SiteState, source: str, now: float) -> None:
        adopted = newer(self._site, site)
        if adopted is self._site:
            return
        self._log(
            Event.SITE_STATE_ADOPTED,
            source=source,
            revision=adopted.revision,
            version=adopted.configuration_version,
            closed=adopted.closed_data_centres,
        )
        self._site = adopted
        self._site_since = now
        # Entries need not hand on what is known here.
        self._tell_all()

    def _update_target(self, report: TargetReport) -> None:
        if report.state is not self._target_state:
            self._log(
                Event.TARGET_STATE_CHANGED,
                target=report.life.target,
                state=report.state.value,
            )
        if report != self._target:
            self._tell_all()
        self._target = report

    @property
    def _target_state(self) -> TargetState | None:
        return None if self._target is None else self._target.state

    def _begin_life(
        self, report: TargetReport, sequence: int, now: float
    ) -> None:
        """Follow another life of the target; the former one is over."""
        self._end_life(now)
        self._target = report
        self._target_sequence = sequence
        self._next_target = None
        self._tell_all()
        self._log(
            Event.TARGET_FOLLOWED,
            target=report.life.target,
            born_ms=report.life.born_ms,
            state=report.state.value,
        )

    def _end_life(self, now: float) -> None:
        """Forget all of a life of the target that is over."""
        for run in list(self._runs.values()):
            self._end(run, RunEnd.LAPSED, now)
        self._orphans.clear()
        self._numbers.clear()
        self._is_listed = False
        self._held.reset()
        for session in self._sessions.values():
            session.shown_ends.clear()
        self._tell_all()

    def _answer_expected(self) -> None:
        """Answer for runs that entries gave out on an earlier stream.

        Only once the target's own runs are known: a former life of this
        agent may have started what this one has no memory of.
        """
        if not self._is_listed:
            return
        for session in self._sessions.values():
            # In order, so that a seeded run repeats exactly.
            for expected in sorted(session.expected, key=_order_of):
                if expected.task not in self._orphans:
                    session.expected.discard(expected)
                    self._answer_for(session, expected)

    def _answer_for(self, session: Session, expected: ExpectedRun) -> None:
        run = self._runs.get(expected.task)
        asked_by = None if run is None else (run.entry, run.order)
        if asked_by == (session.entry, expected.order):
            return
        if any(
            (end.task, end.order) == (expected.task, expected.order)
            for end in self._held.ends
        ):
            # The end is shown on the new stream by itself.
            return
        kept = self._ends.get(expected.task)
        if kept is not None and kept[0].order == expected.order:
            session.reports.append(kept[0])
            return
        session.reports.append(
            RunReport(expected.task, expected.order, 0, RunEnd.LAPSED)
        )

    def _take(self, session: Session, order: StartOrder, now: float) -> None:
        reason = self._refusal(session, order, now)
        if reason is None:
            self._start(session, order, now)
            return
        self._log(
            Event.START_REFUSED,
            task=_text(order.task),
            entry=session.entry.name,
            reason=reason.value,
            echo_age_s=_rounded(self._echo_age_s(session.entry, now)),
            used_cpu=self.used.cpu_millicores,
        )
        report = RunReport(
            order.task, order.order, 0, RunEnd.NOT_STARTED, reason
        )
        session.reports.append(report)

    def _refusal(
        self, session: Session, order: StartOrder, now: float
    ) -> RefusalReason | None:
        target = self._target
        if self._echo_age_s(session.entry, now) > FRESH_S:
            return RefusalReason.STALE
        if target is None or not self._is_listed or self._held.must_lapse:
            return RefusalReason.NO_TARGET
        if self._is_stopping or target.state is not TargetState.READY:
            return RefusalReason.DRAINING
        if target.data_centre in self._site.closed_data_centres:
            return RefusalReason.DATA_CENTRE_OUT
        if target.service != order.service:
            return RefusalReason.WRONG_SERVICE
        if order.required_label and order.required_label not in target.labels:
            return RefusalReason.WRONG_SERVICE
        if order.task in self._runs:
            return RefusalReason.WITHDRAWN
        if not order.demand.fits(target.capacity - self.used):
            return RefusalReason.NO_ROOM
        return None

    def _start(self, session: Session, order: StartOrder, now: float) -> None:
        target = self._target
        require(target is not None, "a start has a target")
        assert target is not None
        highest, _ = self._numbers.get(order.task, (0, now))
        number = highest + 1
        self._numbers[order.task] = (number, now)
        run = Run(order, number, session.entry)
        self._runs[order.task] = run
        require(
            self.used.fits(target.capacity), "runs fit the target's capacity"
        )
        # A start extends the lease of all runs, as a renewal does.
        self.renew(now)
        self._actions.append(
            StartRun(target.life, order.task, number, order.payload)
        )

    def _withdraw(self, session: Session, task: TaskKey, now: float) -> None:
        run = self._runs.get(task)
        if run is not None and run.entry == session.entry:
            self._stop(run, now)

    def _stop_all_of(self, entry: EntryId, now: float) -> None:
        for run in self._runs.values():
            if run.entry == entry and run.phase is not RunPhase.STOPPING:
                self._log(
                    Event.RUN_STOPPED,
                    task=_text(run.task),
                    run=run.number,
                    entry=entry.name,
                )
                self._stop(run, now)

    def _stop(self, run: Run, now: float) -> None:
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self._send_stop(run, now)

    def _send_stop(self, run: Run, now: float) -> None:
        target = self._target
        if target is None:
            return
        run.stop_sent_at = now
        self._actions.append(StopRun(target.life, run.task, run.number))

    def _repeat_stop(self, run: Run, now: float) -> None:
        if run.phase is not RunPhase.STOPPING:
            return
        if run.stop_acknowledged_at <= now and run.confirmed:
            return
        if now - run.stop_sent_at >= STOP_RETRY_S:
            self._send_stop(run, now)

    def _take_end(self, end: ListedEnd, now: float) -> None:
        if self._orphans.get(end.task) == end.number:
            del self._orphans[end.task]
            self._mark_dirty()
        run = self._runs.get(end.task)
        if run is not None and run.number != end.number:
            run = None
        counts = end.end in COUNTED_ENDS
        if counts and (run is None or run.is_kept):
            self._hold(end, run, now)
        if run is not None:
            self._end(run, end.end, now)

    def _hold(self, end: ListedEnd, run: Run | None, now: float) -> None:
        """Keep the target from forgetting an end until it is stored.

        :param end: the end.
        :param run: the run; none if another life of the agent started it.
        :param now: the agent's time.
        """
        if self._target is None:
            return
        held = KeptEnd(
            life=self._target.life,
            position=end.position,
            task=end.task,
            is_done=end.end is RunEnd.DONE,
            entry=None if run is None else run.entry,
            order=0 if run is None else run.order,
            tenure=0 if run is None else run.tenure,
        )
        self._held.hold(held, now)
        self._mark_dirty()
        if run is None:
            self._log(
                Event.END_UNKNOWN,
                task=_text(end.task),
                run=end.number,
                position=end.position,
            )

    def _settle_end(self, receipt: EndReceipt, session: Session) -> None:
        if receipt.is_void:
            self._log(
                Event.LEASE_TO_LAPSE,
                entry=session.entry.name,
                position=receipt.position,
            )
        self._held.settle(receipt)

    def _check_held(self, now: float) -> None:
        """Release ends that can't count or that no job waits for."""
        self._held.void_unclaimed(now)
        if self._held.must_lapse and now > self._lapses_at:
            self._held.release_all()
            self._mark_dirty()
        sessions = self._sessions.values()
        if sessions and not any(each.has_kept_jobs for each in sessions):
            self._held.release_unknown()

    def _ends_for(self, session: Session, now: float) -> tuple[KeptEnd, ...]:
        """List held ends that an entry has not been shown on this stream.

        Ends of entries that are gone are shown to all: one of them takes
        the jobs over.
        """
        found = []
        for end in self._held.ends:
            if end.position in session.shown_ends:
                continue
            is_own = end.entry == session.entry
            if is_own or self._is_gone(end.entry, now):
                session.shown_ends.add(end.position)
                found.append(end)
        return tuple(found)

    def _is_gone(self, entry: EntryId | None, now: float) -> bool:
        if entry is None:
            return True
        session = self._sessions.get(entry.name)
        if session is not None and session.entry == entry:
            return False
        return self._echo_age_s(entry, now) > SILENCE_S

    def _compare(self, listed: RunList, asked_at: float, now: float) -> None:
        """Compare the target's running tasks with the runs known here."""
        present: set[TaskKey] = set()
        for item in listed.running:
            run = self._runs.get(item.task)
            if run is None or run.number != item.number:
                self._adopt_orphan(item, now)
                continue
            present.add(item.task)
            run.percent = item.percent
            run.percent_at = now
        for run in list(self._runs.values()):
            if run.task not in present:
                self._note_missing(run, asked_at, now)
        self._forget_orphans({item.task for item in listed.running})

    def _adopt_orphan(self, item: ListedRun, now: float) -> None:
        """Stop a run that this agent did not start, or gave up."""
        target = self._target
        if target is None:
            return
        if item.task not in self._orphans:
            self._log(
                Event.ORPHAN_STOPPED, task=_text(item.task), run=item.number
            )
        self._orphans[item.task] = item.number
        highest, _ = self._numbers.get(item.task, (0, now))
        self._numbers[item.task] = (max(highest, item.number), now)
        self._actions.append(StopRun(target.life, item.task, item.number))

    def _forget_orphans(self, running: set[TaskKey]) -> None:
        for task in list(self._orphans):
            if task not in running:
                del self._orphans[task]
                self._mark_dirty()

    def _note_missing(self, run: Run, asked_at: float, now: float) -> None:
        """End a run that the target neither runs nor will start."""
        if run.phase is RunPhase.RUNNING and run.settled_at < asked_at:
            self._end(run, RunEnd.LAPSED, now)
        if run.phase is not RunPhase.STOPPING:
            return
        if run.stop_acknowledged_at >= asked_at:
            return
        if run.confirmed:
            self._end(run, RunEnd.STOPPED, now)
        elif run.settled_at < asked_at:
            reason = RefusalReason.UNCONFIRMED
            self._end(run, RunEnd.NOT_STARTED, now, reason)

    def _end_lapsed(self, now: float) -> None:
        """End all runs whose lease has surely run out."""
        if self._is_listed or now <= self._lapses_at:
            return
        for run in list(self._runs.values()):
            self._log(Event.RUN_LAPSED, task=_text(run.task), run=run.number)
            self._end(run, RunEnd.LAPSED, now)

    def _end(
        self,
        run: Run,
        end: RunEnd,
        now: float,
        refusal: RefusalReason | None = None,
    ) -> None:
        del self._runs[run.task]
        self._mark_dirty()
        if run.is_kept and end in COUNTED_ENDS:
            # Its entry is shown the end itself, which is held.
            return
        report = RunReport(run.task, run.order, run.number, end, refusal)
        self._ends[run.task] = (report, now)
        session = self._sessions.get(run.entry.name)
        if session is not None and session.entry == run.entry:
            session.reports.append(report)

    def _find(
        self, life: TargetLife, task: TaskKey, number: int
    ) -> Run | None:
        run = self._runs.get(task)
        if run is None or run.number != number:
            return None
        if self._target is None or self._target.life != life:
            return None
        return run

    def _forget(self, now: float) -> None:
        """Drop what is too old to be asked for."""
        if now - self._forgot_at < FORGET_PAUSE_S:
            return
        self._forgot_at = now
        self._ends = {
            task: kept
            for task, kept in self._ends.items()
            if now - kept[1] <= END_MEMORY_S
        }
        self._echoes = {
            entry: echo_s
            for entry, echo_s in self._echoes.items()
            if now - echo_s <= END_MEMORY_S
        }
        positions = {end.position for end in self._held.ends}
        for session in self._sessions.values():
            session.shown_ends &= positions
        self._numbers = {
            task: kept
            for task, kept in self._numbers.items()
            if now - kept[1] <= NUMBER_MEMORY_S
        }

    def _tell_all(self) -> None:
        """Have all entries told at once; for changes of the target itself."""
        for session in self._sessions.values():
            session.is_asked = True

    def _mark_dirty(self) -> None:
        for session in self._sessions.values():
            session.is_dirty = True

    def _finish(self, now: float) -> list[RunAction]:
        self._answer_expected()
        self._choose_favoured(now)
        self._entries_with_runs = {run.entry for run in self._runs.values()}
        for session in self._sessions.values():
            ends = self._ends_for(session, now) if self._held.ends else ()
            is_due = now - session.sent_at >= self._pause(session)
            if session.reports or ends or session.is_asked or is_due:
                self._send(session, ends, now)
        actions = self._actions
        self._actions = []
        return actions

    def _choose_favoured(self, now: float) -> None:
        favoured = choose_favoured(list(self._sessions.values()), now)
        former = self._favoured
        if favoured is former:
            return
        self._favoured = favoured
        if favoured is None:
            self._mark_dirty()
        else:
            favoured.is_dirty = True

    def _pause(self, session: Session) -> float:
        """Choose the time between messages by what the entry needs.

        News is of use only to entries whose tasks wait; the others hear of
        it with the next report, or when they ask.
        """
        if session.backlog > 0:
            if not session.is_dirty:
                return PING_S
            # Others hear of the room when it is theirs to take.
            return 0.0 if self._favoured in (None, session) else PING_S
        has_runs = session.entry in self._entries_with_runs
        return PING_S if has_runs else IDLE_PING_S

    def _send(
        self, session: Session, ends: tuple[KeptEnd, ...], now: float
    ) -> None:
        site = self._site
        is_behind = self._must_hand_on(session, now)
        others = sum(
            other.backlog
            for other in self._sessions.values()
            if other is not session
        )
        message = AgentMessage(
            name=self._name,
            token=AgentToken(self._incarnation, now),
            data_centre=self._data_centre,
            heard_sequence=session.asked_sequence,
            target=self._target if self._is_listed else None,
            used=self.used,
            reports=tuple(session.reports),
            held_ends=ends,
            progress=self._progress_of(session.entry, now),
            site_revision=site.revision,
            site=site if is_behind else None,
            others_backlog=others,
            is_stopping=self._is_stopping,
            is_promised=self._favoured not in (None, session),
        )
        session.reports = []
        session.is_dirty = False
        session.is_asked = False
        session.sent_at = now
        if is_behind:
            session.site_revision = site.revision
        self._actions.append(SendMessage(session.number, message))

    def _progress_of(
        self, entry: EntryId, now: float
    ) -> tuple[RunProgress, ...]:
        return tuple(
            RunProgress(run.task, run.percent, now - run.percent_at)
            for run in self._runs.values()
            if run.entry == entry and run.percent_at > float("-inf")
        )

    def _log(self, event: Event, **fields: Any) -> None:
        self._actions.append(LogDecision(event, fields))


def _order_of(expected: ExpectedRun) -> int:
    return expected.order


def _text(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def _rounded(span_s: float) -> float | None:
    return None if span_s == float("inf") else round(span_s, 3)
