"""Steps that test settings, documentation, the command line and reports."""

from __future__ import annotations

from pathlib import Path
import re
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from behave import then
from behave import when
import httpx
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from fulmarscale.burn import burn_rate
from fulmarscale.burn import BURN_WINDOWS
from fulmarscale.burn import firing_alerts
from fulmarscale.burn import ObjectiveCount
from fulmarscale.control.configuration import Contract
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from behave.runner import Context

ROOT = Path(__file__).parent.parent.parent
PROGRAMS = {
    "entry": "fulmar-entry",
    "agent": "fulmar-agent",
    "client": "fulmarctl",
}
SECRET_PAYLOAD = "the-payload-of-a-clerk"


def run(program: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a program of the project and return its result."""
    executable = Path(sys.executable).parent / program
    return subprocess.run(
        [str(executable), *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("every example in etc is accepted by its program")
def check_examples(context: Context) -> None:
    for path in sorted((ROOT / "etc").glob("*.json")):
        kind = path.name.split("-")[0]
        if kind == "contract":
            msgspec.json.decode(path.read_bytes(), type=Contract)
            continue
        result = run(
            PROGRAMS[kind], "--settings", str(path), "--check-settings"
        )
        assert result.returncode == 0, (path, result.stderr)


@when("{program} checks settings with {field} set to {value}")
def check_settings(
    context: Context, program: str, field: str, value: str
) -> None:
    kind = program.split("-")[1]
    example = ROOT / "etc" / f"{kind}-fjaervik.json"
    changed = msgspec.json.decode(example.read_bytes())
    changed[field] = msgspec.json.decode(value)
    path = Path(f"{context.folder}/{field}.json")
    path.write_bytes(msgspec.json.encode(changed))
    context.run = run(program, "--settings", str(path), "--check-settings")


@then('it exits with code {code:d} and its error names "{field_path}"')
def check_error_named(context: Context, code: int, field_path: str) -> None:
    assert context.run.returncode == code, context.run
    assert field_path in context.run.stderr, context.run.stderr


@then('it exits with code {code:d} and prints "{text}"')
def check_printed_with_code(context: Context, code: int, text: str) -> None:
    assert context.run.returncode == code, context.run
    assert text in context.run.stderr + context.run.stdout, context.run


@then('it prints "{text}"')
def check_printed(context: Context, text: str) -> None:
    assert context.run.returncode == 0, context.run
    assert text in context.run.stdout, context.run.stdout


def check_table(name: str, members: Iterable[ResultCode | Event]) -> None:
    """Check that a table in docs lists these codes or events and no other."""
    text = (ROOT / "docs" / name).read_text()
    listed = set(re.findall(r"^\| (\d+) \| (\w+) \|", text, re.MULTILINE))
    expected = {(str(member.value), member.name) for member in members}
    assert listed == expected, listed ^ expected


@then("docs/ERRORS.md lists every result code")
def check_errors(context: Context) -> None:
    check_table("ERRORS.md", ResultCode)


@then("docs/EVENTS.md lists every event")
def check_events(context: Context) -> None:
    check_table("EVENTS.md", Event)
    text = (ROOT / "docs" / "EVENTS.md").read_text()
    row = r"^\| \d+ \| (\w+) \| (\w+) \|"
    listed = set(re.findall(row, text, re.MULTILINE))
    expected = {(event.name, event.importance.value) for event in Event}
    assert listed == expected, listed ^ expected


@then("every result code and event is used")
def check_used(context: Context) -> None:
    sources = "".join(
        path.read_text() for path in (ROOT / "src").rglob("*.py")
    )
    for member in [*ResultCode, *Event]:
        name = f"{type(member).__name__}.{member.name}"
        assert name in sources, name


@then(
    "{broken:d} of {total:d} jobs that miss an objective of {share:f} give a"
    " burn rate of {rate:f}"
)
def check_burn(
    context: Context, broken: int, total: int, share: float, rate: float
) -> None:
    actual = burn_rate(ObjectiveCount(total - broken, broken), share)
    assert abs(actual - rate) < 1e-6, actual


@then(
    "{broken:d} of {total:d} jobs that miss their objective in all windows"
    " raise an alert"
)
def check_alert(context: Context, broken: int, total: int) -> None:
    rate = burn_rate(ObjectiveCount(total - broken, broken), 0.99)
    burns = {window.name: rate for window in BURN_WINDOWS}
    assert len(list(firing_alerts(burns))) == 2
    low_burns = dict.fromkeys(burns, 1.0)
    assert not list(firing_alerts(low_burns))


def write_client_files(context: Context) -> Path:
    """Write settings, a contract and a job for the command line.

    :returns: the settings file; the others are beside it.
    """
    state = context.driver.site.state
    folder = context.driver.site.folder
    settings = {
        "entries": [entry.url for entry in state.entries],
        "operator_key": state.operator_key,
        "customer_key": state.customers["lautoka"],
    }
    path = folder / "client.json"
    path.write_bytes(msgspec.json.encode(settings))
    shown = context.driver.send_as_operator(
        "GET", "/v1/contracts/lautoka"
    ).body
    (folder / "CONTRACT").write_bytes(msgspec.json.encode(shown))
    job = {"kind": "echo", "tasks": [{"payload": SECRET_PAYLOAD}] * 3}
    (folder / "JOB").write_bytes(msgspec.json.encode(job))
    return path


@when('"{command}" is run')
def run_command(context: Context, command: str) -> None:
    path = write_client_files(context)
    words = [
        str(path.parent / word) if word in ("CONTRACT", "JOB") else word
        for word in command.split()
    ]
    context.run = run("fulmarctl", "--settings", str(path), *words)


@when("the job is shown and cancelled from the command line")
def show_and_cancel(context: Context) -> None:
    submission_id = context.run.stderr.split()[-1]
    run_command(context, f"job cancel {submission_id}")
    assert "done, code 0" in context.run.stdout, context.run
    run_command(context, f"job show {submission_id}")


@when("the burn rate report is generated")
def make_report(context: Context) -> None:
    path = write_client_files(context)
    page = path.parent / "burn.html"
    arguments = ("--settings", str(path), "burn")
    context.reports = [
        run("fulmar-report", *arguments).stdout,
        run("fulmar-report", *arguments, "--json").stdout,
    ]
    run("fulmar-report", *arguments, "--html", str(page))
    context.reports.append(page.read_text())


@then('the report shows "{text}" in text, JSON and HTML')
def check_reports(context: Context, text: str) -> None:
    for report in context.reports:
        assert text in report, report
    assert msgspec.json.decode(context.reports[1])[0]["answers"]["6h"] == 1
    assert "<svg" in context.reports[2]


@then("no log contains a key or a payload")
def check_logs(context: Context) -> None:
    state = context.driver.site.state
    secrets = [state.operator_key, *state.customers.values()]
    secrets += [SECRET_PAYLOAD, "stand-in-site-shared-secret"]
    logs = list(context.driver.site.folder.glob("*.log"))
    assert logs
    for path in logs:
        text = path.read_text()
        for secret in secrets:
            assert secret not in text, (path, secret)
    lines = (path.parent / "entry-0.log").read_text().splitlines()
    assert all("number" in msgspec.json.decode(line) for line in lines)


@then("the metrics follow the naming conventions of Prometheus")
def check_metrics(context: Context) -> None:
    text = httpx.get(f"{context.driver.entry_url(0)}/metrics").text
    names = {f.name for f in text_string_to_metric_families(text)}
    assert all(name.startswith("fulmarscale_") for name in names), names
    assert "fulmarscale_response_seconds" in names, names
    assert "fulmarscale_lease_age_seconds" in names, names
    assert "fulmarscale_response_over_ideal" in names, names
    assert "fulmarscale_response_over_ideal_count{" in text


@then("a client that does not trust the certificate authority cannot connect")
def check_untrusted_refused(context: Context) -> None:
    try:
        httpx.get(f"{context.driver.entry_url(0)}/healthz")
    except httpx.ConnectError:
        return
    raise AssertionError("the client trusted an unknown certificate authority")


@then("an agent without a certificate cannot join")
def check_agent_refused(context: Context) -> None:
    folder = context.driver.site.folder
    changed = msgspec.json.decode((folder / "agent-0.json").read_bytes())
    changed["name"] = "intruder"
    changed["tls"] = None
    path = folder / "intruder.json"
    path.write_bytes(msgspec.json.encode(changed))
    context.driver.site.start_extra_agent("agent-intruder", path)
    time.sleep(3)
    status = context.driver.send_as_operator("GET", "/v1/status").body
    names = sorted(agent["name"] for agent in status["agents"])
    assert names == ["agent-0", "agent-1"], names
