"""Steps that test how a site uses the notice that targets give."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from behave import then
from behave import when
import msgspec

from fulmarscale.agent.target_times import date_report
from fulmarscale.agent.target_times import undate_report
from fulmarscale.decoding import decode_json
from fulmarscale.platform.wire import WireHeartbeat
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.dispatch_site import DispatchSite

NOW = 100.0

NOTICE_KNOWN_S = 0.5
"""Time until the agent knows of the notice: a heartbeat interval."""


FormerTargetReport = msgspec.defstruct(
    "FormerTargetReport",
    [
        ("incarnation", TargetIncarnation),
        ("service", ServiceName),
        ("data_centre", str),
        ("state", TargetState),
        ("capacity", Resources),
        ("labels", tuple[str, ...], ()),
    ],
    frozen=True,
    array_like=True,
)
"""A target's report as processes know it that know no times."""


def _runs_at_notice(site: DispatchSite) -> list[tuple[float, float, str]]:
    """Return the notices: their time, the end of the target, its name."""
    return [
        (given_at, ends_at, target.name)
        for target in site.targets
        for given_at, ends_at in target.notices
    ]


@then("no run ends with a target that gave notice")
def check_lost(context: Context) -> None:
    site = context.sites[0]
    notices = _runs_at_notice(site)
    assert notices
    lost = [
        run
        for run in site.history
        for _, ends_at, name in notices
        if run.target == name
        and run.outcome is RunOutcome.LAPSED
        and run.ended_at == ends_at
    ]
    assert not lost, lost[:3]


@then("a target that gave notice starts no task")
def check_started(context: Context) -> None:
    site = context.sites[0]
    late = [
        run
        for run in site.history
        for given_at, ends_at, name in _runs_at_notice(site)
        if run.target == name
        and given_at + NOTICE_KNOWN_S < run.started_at <= ends_at
    ]
    assert not late, late[:3]


@when("a draining target sends a heartbeat with the remaining time {value}")
def send_heartbeat(context: Context, value: str) -> None:
    body = (
        '{"service":"press","address":"10.0.0.1:80","zone":"here",'
        '"state":"draining","capacity":{"cpu":16000},"clockMs":1,'
        f'"callSeq":1,"born":1,"coldLeftMs":0,"remainingMs":{value}}}'
    )
    heartbeat = decode_json(body.encode(), WireHeartbeat)
    context.report = date_report(
        heartbeat.decode("t0"),
        None,
        heartbeat.remaining_s,
        heartbeat.cold_left_s,
        NOW,
    )


@then("its state is known and its end is unknown")
def check_end_unknown(context: Context) -> None:
    assert context.report.state is TargetState.DRAINING
    assert context.report.leaves_at is None


@then("its state is known and it leaves in {left_s:f} s")
def check_end(context: Context, left_s: float) -> None:
    assert context.report.state is TargetState.DRAINING
    assert abs(context.report.leaves_at - NOW - left_s) < 1e-6


@then("its state is known and it leaves in an hour")
def check_end_in_an_hour(context: Context) -> None:
    check_end(context, 3600.0)


def _former_report() -> Any:
    return FormerTargetReport(
        TargetIncarnation("t0", 1),
        ServiceName("press"),
        "here",
        TargetState.DRAINING,
        Resources(16000, 65536, 0),
        ("a",),
    )


@then("a report without times can be read")
def check_former_report(context: Context) -> None:
    data = msgspec.msgpack.encode(_former_report())
    report = msgspec.msgpack.decode(data, type=TargetReport)
    assert report.leaves_at is None
    assert undate_report(report) == report


@then("a report with times can be read by a process that knows none")
def check_new_report(context: Context) -> None:
    former = _former_report()
    report = TargetReport(
        former.incarnation,
        former.service,
        former.data_centre,
        former.state,
        former.capacity,
        former.labels,
        leaves_at=NOW,
        cold_until=NOW,
    )
    data = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(data, type=FormerTargetReport) == former
