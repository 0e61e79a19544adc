"""The program `fulmarctl`, for operators."""

from __future__ import annotations

import sys
import time
from typing import Any
from typing import Final

import click
import msgspec

from fulmarscale.cli._client import client_group
from fulmarscale.cli._client import EntryClient
from fulmarscale.cli._client import EntryResponse
from fulmarscale.cli._client import pass_client
from fulmarscale.cli._client import print_json
from fulmarscale.cli._client import print_table
from fulmarscale.cli._client import require_success
from fulmarscale.cli._common import ExitCode
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode

PROGRESS_INTERVAL_S: Final = 0.2
"""Interval at which the progress line of `--wait` is updated."""

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)


@client_group
def main() -> None:
    """Operate a fulmarscale site."""


@main.group()
def contract() -> None:
    """Show and set customers' contracts."""


@contract.command("list")
@json_option
@pass_client
def list_contracts(client: EntryClient, as_json: bool) -> None:
    """List all contracts."""
    body = require_success(
        client.send_as_operator("GET", "/v1/contracts")
    ).body
    if as_json:
        print_json(body)
        return
    rows = [
        (
            row["name"],
            row["version"],
            row["contract"]["rate"],
            row["contract"]["burst"],
            row["contract"]["largest_job"],
            f"{row['contract']['response_time_ms']} ms",
            row["contract"]["response_share"],
        )
        for row in body["contracts"]
    ]
    headings = ("customer", "version", "tasks/s", "burst", "largest job")
    print_table((*headings, "promise", "share"), rows)


@contract.command("show")
@click.argument("customer")
@json_option
@pass_client
def show_contract(client: EntryClient, customer: str, as_json: bool) -> None:
    """Show a customer's contract."""
    response = require_success(
        client.send_as_operator("GET", f"/v1/contracts/{customer}")
    )
    if as_json:
        print_json(response.body)
        return
    click.echo(f"version {response.etag}")
    print_table(("field", "value"), list(response.body.items()))


@contract.command("set")
@click.argument("customer")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--version",
    "expected",
    type=int,
    help="Version that the change replaces; by default the current one.",
)
@pass_client
def set_contract(
    client: EntryClient, customer: str, file: Any, expected: int | None
) -> None:
    """Set a customer's contract from a JSON FILE."""
    path = f"/v1/contracts/{customer}"
    content = file.read()
    response = _put(client, path, expected, content=content)
    click.echo(f"{customer} has version {response.etag}")


@main.group("data-centre")
def data_centre() -> None:
    """Take data centres out of service and bring them back."""


@data_centre.command("list")
@json_option
@pass_client
def list_data_centres(client: EntryClient, as_json: bool) -> None:
    """List all data centres."""
    body = require_success(
        client.send_as_operator("GET", "/v1/data-centres")
    ).body
    if as_json:
        print_json(body)
        return
    rows = [
        (row["name"], row["version"], row["state"])
        for row in body["data_centres"]
    ]
    print_table(("data centre", "version", "state"), rows)


wait_option = click.option(
    "--wait",
    is_flag=True,
    help="Wait until the change is in force everywhere.",
)


@data_centre.command("out")
@click.argument("name")
@wait_option
@pass_client
def take_out(client: EntryClient, name: str, wait: bool) -> None:
    """Take a data centre out of service: no task starts there."""
    _set_state(client, name, "out", wait)


@data_centre.command("in")
@click.argument("name")
@wait_option
@pass_client
def bring_in(client: EntryClient, name: str, wait: bool) -> None:
    """Bring a data centre back into service."""
    _set_state(client, name, "in", wait)


@main.command()
@json_option
@pass_client
def status(client: EntryClient, as_json: bool) -> None:
    """Show the state of the site as one entry reports it."""
    body = require_success(client.send_as_operator("GET", "/v1/status")).body
    if as_json:
        print_json(body)
        return
    click.echo(
        f"entry {body['entry']}, ready: {body['ready']}, lease age"
        f" {body['lease_age_s']} s, configuration"
        f" {body['configuration_version']}"
    )
    click.echo()
    entries = [
        (entry["name"], entry["data_centre"], entry["url"])
        for entry in body["entries"]
    ]
    print_table(("entry", "data centre", "url"), entries)
    click.echo()
    agents = [
        (
            agent["name"],
            agent["data_centre"],
            agent["state"],
            f"{agent['load']}/{agent['slots']}",
            "yes" if agent["quarantined"] else "no",
        )
        for agent in sorted(body["agents"], key=lambda a: a["name"])
    ]
    headings = ("agent", "data centre", "state", "load", "quarantined")
    print_table(headings, agents)


@main.group()
def job() -> None:
    """Submit, show and cancel jobs as a customer."""


@job.command("submit")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--id",
    "submission_id",
    help="Submission id; by default an entry generates one.",
)
@json_option
@pass_client
def submit_job(
    client: EntryClient, file: Any, submission_id: str | None, as_json: bool
) -> None:
    """Submit a job from a JSON FILE and wait for its outcome."""
    if submission_id is None:
        created = require_success(
            client.send_as_customer("POST", "/v1/submission-ids")
        )
        submission_id = created.body["ids"][0]
        click.echo(f"submission {submission_id}", err=True)
    response = client.send_as_customer(
        "POST",
        "/v1/jobs",
        headers={"idempotency-key": submission_id},
        content=file.read(),
    )
    _print_outcome(require_success(response), as_json)


@job.command("show")
@click.argument("submission_id")
@json_option
@pass_client
def show_job(client: EntryClient, submission_id: str, as_json: bool) -> None:
    """Show the outcome of a submission."""
    response = client.send_as_customer("GET", f"/v1/jobs/{submission_id}")
    _print_outcome(require_success(response), as_json)


@job.command("cancel")
@click.argument("submission_id")
@json_option
@pass_client
def cancel_job(client: EntryClient, submission_id: str, as_json: bool) -> None:
    """Cancel a submission; running tasks are stopped."""
    response = client.send_as_customer("DELETE", f"/v1/jobs/{submission_id}")
    _print_outcome(require_success(response), as_json)


@main.command()
@click.argument("agent")
@click.option("--undo", is_flag=True, help="Let the agent start tasks again.")
@pass_client
def drain(client: EntryClient, agent: str, undo: bool) -> None:
    """Start no new tasks at AGENT; running tasks end normally."""
    state = "serving" if undo else "draining"
    path = f"/v1/agents/{agent}"
    require_success(
        client.send_as_operator("PUT", path, json={"state": state})
    )
    click.echo(f"{agent} is {state}")


@main.group()
def entry() -> None:
    """Repair the list of entries."""


@entry.command("forget")
@click.argument("name")
@click.confirmation_option(
    prompt="Is every process of this entry stopped for certain?"
)
@pass_client
def forget_entry(client: EntryClient, name: str) -> None:
    """Declare entry NAME permanently gone, so that others can join."""
    path = f"/v1/entries/{name}/forget"
    responses = client.send_to_all_as_operator("POST", path)
    if not responses:
        click.echo("no entry responded", err=True)
        sys.exit(ExitCode.UNREACHABLE)
    for response in responses:
        require_success(response)
    click.echo(f"{len(responses)} entries recorded that {name} is gone")


def _set_state(client: EntryClient, name: str, state: str, wait: bool) -> None:
    path = f"/v1/data-centres/{name}"
    response = _put(client, path, None, json={"state": state})
    click.echo(f"{name} is {state}, version {response.etag}")
    if wait:
        _wait_in_force(response.in_force_ms / 1000)


def _put(
    client: EntryClient, path: str, expected: int | None, **body: Any
) -> EntryResponse:
    """Write a row; on a version conflict print both versions and exit.

    :param client: the client.
    :param path: path of the row.
    :param expected: version to replace; none for the current one, or to
        create the row if it does not exist.
    :param body: options of the request that hold the new value.
    :returns: the response, if the row was written.
    """
    current = client.send_as_operator("GET", path)
    headers = {"if-none-match": "*"}
    if expected is not None:
        headers = {"if-match": f'"{expected}"'}
    elif current.etag is not None:
        headers = {"if-match": current.etag}
    response = client.send_as_operator("PUT", path, headers=headers, **body)
    problem = response.body if isinstance(response.body, dict) else {}
    if problem.get("code") == ResultCode.VERSION_CONFLICT.value:
        latest = client.send_as_operator("GET", path)
        click.echo("another operator changed it first", err=True)
        known_version = expected if expected is not None else current.etag
        click.echo(
            f"you saw version {known_version}: {_format_body(current)}",
            err=True,
        )
        click.echo(
            f"now it is {latest.etag}: {_format_body(latest)}", err=True
        )
        sys.exit(ExitCode.CONFLICT)
    return require_success(response)


def _format_body(response: EntryResponse) -> str:
    return msgspec.json.encode(response.body).decode()


def _wait_in_force(wait_s: float) -> None:
    ends_at = time.monotonic() + wait_s
    while (remaining_s := ends_at - time.monotonic()) > 0:
        click.echo(f"\rin force everywhere in {remaining_s:.1f} s ", nl=False)
        time.sleep(min(PROGRESS_INTERVAL_S, remaining_s))
    click.echo("\rin force everywhere             ")


def _print_outcome(response: EntryResponse, as_json: bool) -> None:
    body = response.body
    if as_json:
        print_json(body)
    else:
        click.echo(f"{body['outcome']}, code {body['code']}")
        rows = [
            (
                task["index"],
                task["outcome"],
                task["code"],
                msgspec.json.encode(task["result"]).decode(),
            )
            for task in body["tasks"]
        ]
        print_table(("task", "outcome", "code", "result"), rows)
    if body["outcome"] != Outcome.DONE.value:
        sys.exit(ExitCode.NOT_DONE)
