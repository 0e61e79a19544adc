"""Removals of single safety rules of entries and agents.

Each removal patches members of the code under test by name. A scripted case
or a seed with random faults must then detect a violation; otherwise the tests
would not notice if the rule were lost.
"""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.start_records import StartRecords
from fulmarscale.control import entry_list
from fulmarscale.control.lease import LeaseManager
from fulmarscale.control.submission_history import HistoryAction
from fulmarscale.control.submission_history import HistoryDecision
from fulmarscale.control.submission_history import HistoryManager
from fulmarscale.control.timings import Timings
from fulmarscale.entry import task_dispatch
from fulmarscale.entry.call_routing import CallRouter
from fulmarscale.entry.configuration_change import ChangeManager
from fulmarscale.entry.connected_agents import ConnectedAgent
from fulmarscale.entry.records import SubmissionRecords
from fulmarscale.entry.task_dispatch import TaskDispatcher
from fulmarscale.wire.messages import NotStartedReason
from standins.virtual import nodes
from standins.virtual.chaos import run_seed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from standins.virtual.chaos import ProfileName
    from standins.virtual.chaos import RunResult


def patch_member(target: Any, name: str, new: Any) -> Any:
    """Return a patch that replaces a member while it is entered."""
    return mock.patch.object(target, name, new)


def returning(value: Any) -> Callable[..., Any]:
    """Return a function that takes any arguments and returns a value."""
    return lambda *_args, **_kwargs: value


def skip_takeover_wait() -> list[Any]:
    """Let a new owner accept submissions without waiting."""
    return [patch_member(Timings, "takeover_wait_s", property(returning(0.0)))]


def treat_every_id_as_new() -> list[Any]:
    """Treat every submission id without a record as never started."""
    fresh = HistoryDecision(HistoryAction.NEVER_STARTED)
    return [patch_member(HistoryManager, "decide", returning(fresh))]


def accept_any_token_age() -> list[Any]:
    """Let agents start tasks whatever the age of the echoed token."""
    return [patch_member(AgentCore, "_is_fresh", returning(True))]


def accept_former_incarnations() -> list[Any]:
    """Let agents accept echoes of tokens of a former incarnation."""

    def record_echo(self: AgentCore, message: Any) -> None:
        if message.echo is not None:
            self._echoes[message.entry] = message.echo.time_s

    return [patch_member(AgentCore, "_record_echo", record_echo)]


def echo_newest_token() -> list[Any]:
    """Let entries echo tokens received after the last confirmation."""

    def best_echo(self: ConnectedAgent, confirmed_at: float) -> Any:
        return self._tokens[-1].token if self._tokens else None

    return [patch_member(ConnectedAgent, "best_echo", best_echo)]


def accept_unlisted_entries() -> list[Any]:
    """Let agents accept tasks from entries that are not on the list."""
    return [patch_member(AgentCore, "_is_fenced", returning(False))]


def drop_start_records() -> list[Any]:
    """Let agents start a task again and report none as started."""

    def record_start(
        self: StartRecords, task: Any, entry: Any, now: float
    ) -> None:
        job = self._jobs[task.submission_id]
        job.starts.pop(task.index, None)
        original_record_start(self, task, entry, now)

    original_record_start = StartRecords.record_start
    original_recover = StartRecords.recover

    def recover_nothing(self: StartRecords, *args: Any) -> Any:
        recovered = original_recover(self, *args)
        changes = {"running": (), "results": (), "task_count": 0}
        return type(recovered)(
            **{
                name: changes.get(name, getattr(recovered, name))
                for name in recovered.__struct_fields__
            }
        )

    return [
        patch_member(StartRecords, "record_start", record_start),
        patch_member(StartRecords, "recover", recover_nothing),
    ]


def confirm_by_majority() -> list[Any]:
    """Confirm a lease by promises of a majority instead of all peers."""

    def count_promises(self: LeaseManager) -> list[Any]:
        times = sorted(
            (
                self._promised_at.get(peer.entry, float("-inf"))
                for peer in self._required_peers()
            ),
            reverse=True,
        )
        if self.is_member and times:
            self._confirm(times[max(0, len(times) // 2 - 1)])
        return []

    return [patch_member(LeaseManager, "_count_promises", count_promises)]


def join_without_acks() -> list[Any]:
    """Let an entry join the list before all members acknowledged it."""

    class UniversalSet(set):
        """A set that contains every entry."""

        def __contains__(self, _: object) -> bool:
            return True

    def receive_snapshot(self: LeaseManager, *args: Any) -> Any:
        self._join_acks = UniversalSet()
        return original(self, *args)

    original = LeaseManager.receive_snapshot
    return [patch_member(LeaseManager, "receive_snapshot", receive_snapshot)]


def confirm_without_joiners() -> list[Any]:
    """Confirm a lease without the promises of entries that join."""

    def required_peers(self: LeaseManager) -> Any:
        return list(self.entry_list.without(self.entry))

    return [patch_member(LeaseManager, "_required_peers", required_peers)]


def promise_to_removed() -> list[Any]:
    """Go on promising to an entry that is being removed."""

    def remove_peer(self: LeaseManager, peer: Any) -> Any:
        actions = original(self, peer)
        self._removing.clear()
        return actions

    original = LeaseManager._remove
    return [patch_member(LeaseManager, "_remove", remove_peer)]


def promise_during_change() -> list[Any]:
    """Go on promising, and using promises, during a change."""
    return [
        patch_member(LeaseManager, "suspend_promises", returning(None)),
        patch_member(LeaseManager, "resume_promises", returning(None)),
    ]


def count_promises_during_change() -> list[Any]:
    """Let an entry confirm its lease during its own configuration change."""

    def count_promises(self: LeaseManager) -> Any:
        pending, self._pending_changes = self._pending_changes, 0
        actions = original(self)
        self._pending_changes = pending
        return actions

    original = LeaseManager._count_promises
    return [patch_member(LeaseManager, "_count_promises", count_promises)]


def end_change_without_adoption() -> list[Any]:
    """Promise again after a change without adopting its configuration."""

    def finish_change(
        self: ChangeManager, change_id: str, pending: Any, result: Any
    ) -> None:
        result_without_configuration = type(result)(
            result.code, result.row_version
        )
        original(self, change_id, pending, result_without_configuration)

    original = ChangeManager._finish_change
    return [patch_member(ChangeManager, "_finish_change", finish_change)]


def ignore_newer_configuration() -> list[Any]:
    """Never adopt a newer configuration, but confirm leases all the same."""

    def adopt(self: LeaseManager, configuration: Any) -> list[Any]:
        return []

    return [patch_member(LeaseManager, "adopt_configuration", adopt)]


def adopt_any_list_version() -> list[Any]:
    """Let entries adopt a list version older than their current one."""

    def adopt(self: Any, new: Any, now: float) -> bool:
        if new == self.current:
            return False
        self._adopted_lists.append(entry_list.AdoptedList(now, new))
        return True

    return [patch_member(entry_list.EntryListHistory, "adopt", adopt)]


def adopt_any_closure_version() -> list[Any]:
    """Let agents adopt an older version of the closed data centres."""

    def adopt(self: AgentCore, closed: Any) -> None:
        self._closed_data_centres = closed

    return [patch_member(AgentCore, "_adopt_closed_data_centres", adopt)]


def start_in_closed_data_centre() -> list[Any]:
    """Let agents start queued tasks in a closed data centre."""

    def rejection_reason(self: AgentCore) -> Any:
        reason = original(self)
        if reason is NotStartedReason.DATA_CENTRE_OUT:
            return None
        return reason

    original = AgentCore._rejection_reason
    return [patch_member(AgentCore, "_rejection_reason", rejection_reason)]


def start_while_draining() -> list[Any]:
    """Let draining agents start queued tasks."""

    def rejection_reason(self: AgentCore) -> Any:
        reason = original(self)
        return None if reason is NotStartedReason.DRAINING else reason

    original = AgentCore._rejection_reason
    return [patch_member(AgentCore, "_rejection_reason", rejection_reason)]


def ignore_skipped_versions() -> list[Any]:
    """Take the prior owner from the previous list, whatever its version.

    Another entry may have owned the key in a version skipped in between.
    """

    def prior_owner(adopted_lists: Any, position: int, key: str) -> Any:
        if position == 0:
            return None
        owner = adopted_lists[position - 1].entry_list.owner(key)
        return owner.entry if owner is not None else None

    return [patch_member(entry_list, "_prior_owner", prior_owner)]


def accept_while_handing_over() -> list[Any]:
    """Let an entry create new records while it hands its records over."""
    return [patch_member(CallRouter, "stop_accepting", returning(None))]


def requeue_lost_tasks() -> list[Any]:
    """Dispatch tasks again that a restarted agent may have started."""

    def requeue(self: TaskDispatcher, agent: Any, now: float) -> None:
        for ref in sorted(self._detached.pop(agent, ())):
            job = self._records.find(ref.submission_id)
            task = task_dispatch._find_task(job, ref)
            if task is not None and task.agent == agent and job.tasks:
                reason = NotStartedReason.NEVER_RECEIVED
                if task.state is task_dispatch.TaskState.SENT:
                    self.requeue_task(job, task, reason, now)

    return [patch_member(TaskDispatcher, "_mark_outcomes_unknown", requeue)]


def refuse_without_lease() -> list[Any]:
    """Let an entry without a lease answer that a job was not run."""

    def answer_callers(self: CallRouter, job: Any, now: float) -> None:
        with patch_member(type(self._lease), "is_held", returning(True)):
            original(self, job, now)

    original = CallRouter.answer_callers
    return [patch_member(CallRouter, "answer_callers", answer_callers)]


def start_after_pause() -> list[Any]:
    """Let agents start a task however long ago they decided on it."""
    return [patch_member(nodes, "START_DELIVERY_LIMIT_S", 1e9)]


def keep_recovered_tasks() -> list[Any]:
    """Leave recovered tasks in the queue of their agent."""

    def recover(self: AgentCore, link: Any, submission_id: Any) -> None:
        recovered_items = [
            item
            for item in self._queue.items()
            if item.ref.submission_id == submission_id
        ]
        original(self, link, submission_id)
        for item in recovered_items:
            self._queue.push(item)

    original = AgentCore._recover
    return [patch_member(AgentCore, "_recover", recover)]


def ignore_age_limit() -> list[Any]:
    """Accept ids so old that their records may have expired."""
    return [patch_member(SubmissionRecords, "is_too_old", returning(False))]


RULE_REMOVALS: dict[str, Callable[[], list[Any]]] = {
    "wait at take-over": skip_takeover_wait,
    "age of an id without a record": treat_every_id_as_new,
    "token at the agent": accept_any_token_age,
    "incarnation of a token": accept_former_incarnations,
    "token held before the confirmation": echo_newest_token,
    "fence of removed entries": accept_unlisted_entries,
    "start record": drop_start_records,
    "promises of all peers": confirm_by_majority,
    "acknowledgement of a joiner": join_without_acks,
    "promise of a joiner": confirm_without_joiners,
    "no promise to a removed entry": promise_to_removed,
    "no promise during a change": promise_during_change,
    "no use of promises during a change": count_promises_during_change,
    "change adopted before promises": end_change_without_adoption,
    "configuration adopted before a lease": ignore_newer_configuration,
    "list version only up": adopt_any_list_version,
    "closure version only up": adopt_any_closure_version,
    "closed data centre at the start": start_in_closed_data_centre,
    "drain at the start": start_while_draining,
    "no skipped list version": ignore_skipped_versions,
    "no new record during a hand-over": accept_while_handing_over,
    "tasks of a replaced agent unknown": requeue_lost_tasks,
    "lease for a refusal": refuse_without_lease,
    "no start after a pause": start_after_pause,
    "recovered tasks leave the queue": keep_recovered_tasks,
    "age limit of records": ignore_age_limit,
}
"""Removal of each rule, by the name of the rule.

Each function returns the patches that remove its rule.
"""


@contextmanager
def without_rule(name: str) -> Iterator[None]:
    """Remove a rule within a context.

    :param name: name of the rule, a key of `RULE_REMOVALS`.
    """
    with ExitStack() as stack:
        for patch in RULE_REMOVALS[name]():
            stack.enter_context(patch)
        yield


def run_seed_without(seed: int, profile: ProfileName, rule: str) -> RunResult:
    """Run one seed with random faults and a rule removed.

    :param seed: seed of the run.
    :param profile: mix of faults.
    :param rule: name of the rule, a key of `RULE_REMOVALS`.
    """
    with without_rule(rule):
        return run_seed(seed, profile)
