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
from fulmarscale.cli._client import expect
from fulmarscale.cli._client import pass_client
from fulmarscale.cli._client import print_json
from fulmarscale.cli._client import print_table
from fulmarscale.cli._client import Reply
from fulmarscale.cli._common import ExitCode
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode

PROGRESS_S: Final = 0.2

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
    body = expect(client.operator("GET", "/v1/contracts")).body
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
    reply = expect(client.operator("GET", f"/v1/contracts/{customer}"))
    if as_json:
        print_json(reply.body)
        return
    click.echo(f"version {reply.etag}")
    print_table(("field", "value"), list(reply.body.items()))


@contract.command("set")
@click.argument("customer")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--version",
    "expected",
    type=int,
    help="The version that you saw; the present one if not given.",
)
@pass_client
def set_contract(
    client: EntryClient, customer: str, file: Any, expected: int | None
) -> None:
    """Set a customer's contract from a JSON FILE."""
    path = f"/v1/contracts/{customer}"
    content = file.read()
    reply = _put(client, path, expected, content=content)
    click.echo(f"{customer} has version {reply.etag}")


@main.group("data-centre")
def data_centre() -> None:
    """Take data centres out of service and bring them back."""


@data_centre.command("list")
@json_option
@pass_client
def list_data_centres(client: EntryClient, as_json: bool) -> None:
    """List all data centres."""
    body = expect(client.operator("GET", "/v1/data-centres")).body
    if as_json:
        print_json(body)
        return
    rows = [
        (row["name"], row["version"], row["state"])
        for row in body["data_centres"]
    ]
    print_table(("data centre", "version", "state"), rows)


wait_option = click.option(
    "--wait", is_flag=True, help="Return when it is in force everywhere."
)


@data_centre.command("out")
@click.argument("name")
@wait_option
@pass_client
def take_out(client: EntryClient, name: str, wait: bool) -> None:
    """Take a data centre out: no task starts there any more."""
    _set_state(client, name, "out", wait)


@data_centre.command("in")
@click.argument("name")
@wait_option
@pass_client
def bring_in(client: EntryClient, name: str, wait: bool) -> None:
    """Bring a data centre back."""
    _set_state(client, name, "in", wait)


@main.command()
@json_option
@pass_client
def status(client: EntryClient, as_json: bool) -> None:
    """Show the site as one entry sees it."""
    body = expect(client.operator("GET", "/v1/status")).body
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
@click.option("--id", "submission_id", help="Made by an entry if not given.")
@json_option
@pass_client
def submit_job(
    client: EntryClient, file: Any, submission_id: str | None, as_json: bool
) -> None:
    """Submit a job from a JSON FILE and wait for its answer."""
    if submission_id is None:
        minted = expect(client.customer("POST", "/v1/submission-ids"))
        submission_id = minted.body["ids"][0]
        click.echo(f"submission {submission_id}", err=True)
    reply = client.customer(
        "POST",
        "/v1/jobs",
        headers={"idempotency-key": submission_id},
        content=file.read(),
    )
    _print_answer(expect(reply), as_json)


@job.command("show")
@click.argument("submission_id")
@json_option
@pass_client
def show_job(client: EntryClient, submission_id: str, as_json: bool) -> None:
    """Show what became of a submission."""
    reply = client.customer("GET", f"/v1/jobs/{submission_id}")
    _print_answer(expect(reply), as_json)


@job.command("cancel")
@click.argument("submission_id")
@json_option
@pass_client
def cancel_job(client: EntryClient, submission_id: str, as_json: bool) -> None:
    """Cancel a submission; running tasks are stopped."""
    reply = client.customer("DELETE", f"/v1/jobs/{submission_id}")
    _print_answer(expect(reply), as_json)


@main.command()
@click.argument("agent")
@click.option("--undo", is_flag=True, help="Let it take tasks again.")
@pass_client
def drain(client: EntryClient, agent: str, undo: bool) -> None:
    """Give an AGENT no new tasks; what runs there ends normally."""
    state = "serving" if undo else "draining"
    path = f"/v1/agents/{agent}"
    expect(client.operator("PUT", path, json={"state": state}))
    click.echo(f"{agent} is {state}")


@main.group()
def entry() -> None:
    """Mend the list of entries."""


@entry.command("forget")
@click.argument("name")
@click.confirmation_option(
    prompt="Is every process of this entry surely gone?"
)
@pass_client
def forget_entry(client: EntryClient, name: str) -> None:
    """Tell joining entries that entry NAME is gone for good."""
    path = f"/v1/entries/{name}/forget"
    replies = client.operator_at_all("POST", path)
    if not replies:
        click.echo("no entry answers", err=True)
        sys.exit(ExitCode.UNREACHABLE)
    for reply in replies:
        expect(reply)
    click.echo(f"{len(replies)} entries were told that {name} is gone")


def _set_state(client: EntryClient, name: str, state: str, wait: bool) -> None:
    path = f"/v1/data-centres/{name}"
    reply = _put(client, path, None, json={"state": state})
    click.echo(f"{name} is {state}, version {reply.etag}")
    if wait:
        _wait_in_force(reply.in_force_ms / 1000)


def _put(
    client: EntryClient, path: str, expected: int | None, **body: Any
) -> Reply:
    """Change a row; show both versions if another operator was first."""
    before = client.operator("GET", path)
    headers = {"if-none-match": "*"}
    if expected is not None:
        headers = {"if-match": f'"{expected}"'}
    elif before.etag is not None:
        headers = {"if-match": before.etag}
    reply = client.operator("PUT", path, headers=headers, **body)
    problem = reply.body if isinstance(reply.body, dict) else {}
    if problem.get("code") == ResultCode.VERSION_CONFLICT.value:
        now = client.operator("GET", path)
        click.echo("another operator changed it first", err=True)
        seen = expected if expected is not None else before.etag
        click.echo(f"you saw version {seen}: {_text(before)}", err=True)
        click.echo(f"now it is {now.etag}: {_text(now)}", err=True)
        sys.exit(ExitCode.CONFLICT)
    return expect(reply)


def _text(reply: Reply) -> str:
    return msgspec.json.encode(reply.body).decode()


def _wait_in_force(wait_s: float) -> None:
    until = time.monotonic() + wait_s
    while (left_s := until - time.monotonic()) > 0:
        click.echo(f"\rin force everywhere in {left_s:.1f} s ", nl=False)
        time.sleep(min(PROGRESS_S, left_s))
    click.echo("\rin force everywhere             ")


def _print_answer(reply: Reply, as_json: bool) -> None:
    body = reply.body
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
