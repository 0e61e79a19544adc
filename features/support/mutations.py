"""Removals of single safety rules: each must be caught by some seed."""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.records import StartRecords
from fulmarscale.control import entry_list
from fulmarscale.control.lease import LeaseKeeper
from fulmarscale.control.takeover import Past
from fulmarscale.control.takeover import PastKeeper
from fulmarscale.control.takeover import Verdict
from fulmarscale.control.timings import Timings
from fulmarscale.entry import gather
from fulmarscale.entry.agents import AgentView
from fulmarscale.entry.change import ChangeKeeper
from fulmarscale.entry.gather import Gatherer
from fulmarscale.entry.own import Owner
from fulmarscale.entry.records import Records
from fulmarscale.wire.messages import NotStartedReason
from standins.virtual import nodes
from standins.virtual.chaos import run_seed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from standins.virtual.chaos import ProfileName
    from standins.virtual.chaos import RunResult


def replace(target: Any, name: str, new: Any) -> Any:
    return mock.patch.object(target, name, new)


def always(value: Any) -> Callable[..., Any]:
    return lambda *_args, **_kwargs: value


def never_wait() -> list[Any]:
    return [replace(Timings, "takeover_wait_s", property(always(0.0)))]


def ignore_age() -> list[Any]:
    fresh = Past(Verdict.FRESH)
    return [replace(PastKeeper, "decide", always(fresh))]


def ignore_token() -> list[Any]:
    return [replace(AgentCore, "_is_fresh", always(True))]


def ignore_token_incarnation() -> list[Any]:
    def take(self: AgentCore, message: Any) -> None:
        if message.echo is not None:
            self._echoes[message.entry] = message.echo.time_s

    return [replace(AgentCore, "_take_echo", take)]


def echo_newest_token() -> list[Any]:
    def best(self: AgentView, confirmed_at: float) -> Any:
        return self._tokens[-1].token if self._tokens else None

    return [replace(AgentView, "best_echo", best)]


def ignore_fence() -> list[Any]:
    return [replace(AgentCore, "_is_fenced", always(False))]


def ignore_start_record() -> list[Any]:
    def start(self: StartRecords, task: Any, entry: Any, now: float) -> None:
        job = self._jobs[task.submission_id]
        job.starts.pop(task.index, None)
        original(self, task, entry, now)

    original = StartRecords.start
    recover = StartRecords.recover

    def forget(self: StartRecords, *args: Any) -> Any:
        found = recover(self, *args)
        changes = {"running": (), "results": (), "task_count": 0}
        return type(found)(
            **{
                name: changes.get(name, getattr(found, name))
                for name in found.__struct_fields__
            }
        )

    return [
        replace(StartRecords, "start", start),
        replace(StartRecords, "recover", forget),
    ]


def trust_majority() -> list[Any]:
    def count(self: LeaseKeeper) -> list[Any]:
        times = sorted(
            (
                self._promised_at.get(peer.entry, float("-inf"))
                for peer in self._needed()
            ),
            reverse=True,
        )
        if self.is_member and times:
            self._confirm(times[max(0, len(times) // 2 - 1)])
        return []

    return [replace(LeaseKeeper, "_count_promises", count)]


def join_unacknowledged() -> list[Any]:
    class Everyone(set):
        def __contains__(self, _: object) -> bool:
            return True

    def receive_reading(self: LeaseKeeper, *args: Any) -> Any:
        self._join_acks = Everyone()
        return original(self, *args)

    original = LeaseKeeper.receive_reading
    return [replace(LeaseKeeper, "receive_reading", receive_reading)]


def ignore_joiners() -> list[Any]:
    def needed(self: LeaseKeeper) -> Any:
        return list(self.entry_list.without(self.entry))

    return [replace(LeaseKeeper, "_needed", needed)]


def promise_to_removed() -> list[Any]:
    def remove(self: LeaseKeeper, peer: Any) -> Any:
        actions = original(self, peer)
        self._removing.clear()
        return actions

    original = LeaseKeeper._remove
    return [replace(LeaseKeeper, "_remove", remove)]


def promise_during_change() -> list[Any]:
    return [
        replace(LeaseKeeper, "begin_change", always(None)),
        replace(LeaseKeeper, "end_change", always(None)),
    ]


def count_promises_during_change() -> list[Any]:
    def count(self: LeaseKeeper) -> Any:
        pending, self._pending_changes = self._pending_changes, 0
        actions = original(self)
        self._pending_changes = pending
        return actions

    original = LeaseKeeper._count_promises
    return [replace(LeaseKeeper, "_count_promises", count)]


def end_change_unadopted() -> list[Any]:
    def end(
        self: ChangeKeeper, change_id: str, pending: Any, result: Any
    ) -> None:
        known = type(result)(result.code, result.row_version)
        original(self, change_id, pending, known)

    original = ChangeKeeper._end
    return [replace(ChangeKeeper, "_end", end)]


def confirm_by_stale_configuration() -> list[Any]:
    def adopt(self: LeaseKeeper, configuration: Any) -> list[Any]:
        return []

    return [replace(LeaseKeeper, "adopt_configuration", adopt)]


def adopt_any_list() -> list[Any]:
    def adopt(self: Any, new: Any, now: float) -> bool:
        if new == self.current:
            return False
        self._views.append(entry_list.View(now, new))
        return True

    return [replace(entry_list.ViewHistory, "adopt", adopt)]


def adopt_any_closure() -> list[Any]:
    def adopt(self: AgentCore, closed: Any) -> None:
        self._closed = closed

    return [replace(AgentCore, "_adopt_closed", adopt)]


def ignore_closure() -> list[Any]:
    def refusal(self: AgentCore) -> Any:
        reason = original(self)
        if reason is NotStartedReason.DATA_CENTRE_OUT:
            return None
        return reason

    original = AgentCore._refusal
    return [replace(AgentCore, "_refusal", refusal)]


def ignore_drain() -> list[Any]:
    def refusal(self: AgentCore) -> Any:
        reason = original(self)
        return None if reason is NotStartedReason.DRAINING else reason

    original = AgentCore._refusal
    return [replace(AgentCore, "_refusal", refusal)]


def skip_versions() -> list[Any]:
    def prior(views: Any, position: int, key: str) -> Any:
        if position == 0:
            return None
        owner = views[position - 1].entry_list.owner(key)
        return owner.entry if owner is not None else None

    return [replace(entry_list, "_prior_owner", prior)]


def accept_while_handing_over() -> list[Any]:
    return [replace(Owner, "stop_accepting", always(None))]


def requeue_lost_tasks() -> list[Any]:
    def lose(self: Gatherer, agent: Any, now: float) -> None:
        for ref in sorted(self._detached.pop(agent, ())):
            job = self._records.find(ref.submission_id)
            task = gather._task_of(job, ref)
            if task is not None and task.agent == agent and job.tasks:
                reason = NotStartedReason.NEVER_RECEIVED
                if task.state is gather.TaskState.SENT:
                    self.take_back(job, task, reason, now)

    return [replace(Gatherer, "_lose", lose)]


def refuse_without_lease() -> list[Any]:
    def finish(self: Owner, job: Any, now: float) -> None:
        with replace(type(self._lease), "is_held", always(True)):
            original(self, job, now)

    original = Owner.finish
    return [replace(Owner, "finish", finish)]


def start_after_pause() -> list[Any]:
    return [replace(nodes, "HAND_TO_TARGET_LIMIT_S", 1e9)]


def keep_what_was_dropped() -> list[Any]:
    def recover(self: AgentCore, link: Any, submission_id: Any) -> None:
        kept = [
            item
            for item in self._queue.items()
            if item.ref.submission_id == submission_id
        ]
        original(self, link, submission_id)
        for item in kept:
            self._queue.push(item)

    original = AgentCore._recover
    return [replace(AgentCore, "_recover", recover)]


def forget_age_limit() -> list[Any]:
    return [replace(Records, "is_too_old", always(False))]


MUTATIONS: dict[str, Callable[[], list[Any]]] = {
    "wait at take-over": never_wait,
    "age of an id without a record": ignore_age,
    "token at the agent": ignore_token,
    "incarnation of a token": ignore_token_incarnation,
    "token held before the confirmation": echo_newest_token,
    "fence of removed entries": ignore_fence,
    "start record": ignore_start_record,
    "promises of all peers": trust_majority,
    "acknowledgement of a joiner": join_unacknowledged,
    "promise of a joiner": ignore_joiners,
    "no promise to a removed entry": promise_to_removed,
    "no promise during a change": promise_during_change,
    "no use of promises during a change": count_promises_during_change,
    "change adopted before promises": end_change_unadopted,
    "configuration adopted before a lease": confirm_by_stale_configuration,
    "list version only up": adopt_any_list,
    "closure version only up": adopt_any_closure,
    "closed data centre at the start": ignore_closure,
    "drain at the start": ignore_drain,
    "no skipped list version": skip_versions,
    "no new record during a hand-over": accept_while_handing_over,
    "tasks of a replaced agent unknown": requeue_lost_tasks,
    "lease for a refusal": refuse_without_lease,
    "no start after a pause": start_after_pause,
    "recovered tasks leave the queue": keep_what_was_dropped,
    "age limit of records": forget_age_limit,
}
"""The rules, by what is removed."""


@contextmanager
def without_rule(name: str) -> Iterator[None]:
    """Remove a rule for a while."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name]():
            stack.enter_context(patch)
        yield


def run_seed_without(seed: int, profile: ProfileName, rule: str) -> RunResult:
    """Run one seed with a rule removed."""
    with without_rule(rule):
        return run_seed(seed, profile)
