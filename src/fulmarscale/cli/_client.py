"""A client of the entries' HTTP interface, for the command line."""

from __future__ import annotations

import ssl
import sys
from typing import Any
from typing import TYPE_CHECKING

import click
import httpx
import msgspec

from fulmarscale.cli._common import ExitCode
from fulmarscale.cli._common import read_settings
from fulmarscale.cli._common import settings_options
from fulmarscale.errors import ResultCode
from fulmarscale.settings import ClientSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path


class Reply(msgspec.Struct, frozen=True):
    """An entry's answer."""

    status: int
    """The HTTP status."""
    body: Any
    """The decoded body."""
    etag: str | None
    """The row's version."""
    in_force_ms: int
    """When an accepted change is in force everywhere."""


class EntryClient:
    """Asks the entries in order until one answers."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        context = ssl.create_default_context(cafile=settings.authority)
        self._client = httpx.Client(timeout=settings.timeout_s, verify=context)

    def close(self) -> None:
        """Close connections."""
        self._client.close()

    def operator(self, method: str, path: str, **options: Any) -> Reply:
        """Send an operator's request to the first entry that answers."""
        key = self._settings.operator_key
        return self._first(method, path, key, "operator_key", options)

    def customer(self, method: str, path: str, **options: Any) -> Reply:
        """Send a customer's request to the first entry that answers."""
        key = self._settings.customer_key
        return self._first(method, path, key, "customer_key", options)

    def operator_at_all(
        self, method: str, path: str, **options: Any
    ) -> list[Reply]:
        """Send an operator's request to every entry that answers."""
        key = self._settings.operator_key
        replies = []
        for url in self._settings.entries:
            reply = self._send(url, method, path, key, options)
            if reply is not None:
                replies.append(reply)
        return replies

    def metrics(self) -> list[str]:
        """Read the metrics of every entry that answers."""
        texts = []
        for url in self._settings.entries:
            try:
                response = self._client.get(f"{url}/metrics")
                response.raise_for_status()
            except httpx.HTTPError:
                click.echo(f"no metrics from {url}", err=True)
                continue
            texts.append(response.text)
        return texts

    def _first(
        self,
        method: str,
        path: str,
        key: str | None,
        key_name: str,
        options: dict[str, Any],
    ) -> Reply:
        if key is None:
            click.echo(f"the settings name no {key_name}", err=True)
            sys.exit(ExitCode.SETTINGS)
        for url in self._settings.entries:
            reply = self._send(url, method, path, key, options)
            if reply is not None:
                return reply
        click.echo("no entry answers", err=True)
        sys.exit(ExitCode.UNREACHABLE)

    def _send(
        self,
        url: str,
        method: str,
        path: str,
        key: str | None,
        options: dict[str, Any],
    ) -> Reply | None:
        headers = dict(options.get("headers", {}))
        headers["authorization"] = f"Bearer {key}"
        others = {k: v for k, v in options.items() if k != "headers"}
        try:
            response = self._client.request(
                method, f"{url}{path}", headers=headers, **others
            )
        except httpx.TransportError:
            return None
        in_force = response.headers.get("fulmarscale-in-force-ms", "0")
        return Reply(
            status=response.status_code,
            body=response.json() if response.content else None,
            etag=response.headers.get("etag"),
            in_force_ms=int(in_force),
        )


def expect(reply: Reply) -> Reply:
    """End the program with a message if a request was refused."""
    if reply.status < httpx.codes.BAD_REQUEST:
        return reply
    body = reply.body if isinstance(reply.body, dict) else {}
    code = body.get("code", 0)
    title = body.get("title", "")
    click.echo(f"{code} {title}: {body.get('detail', '')}", err=True)
    if code == ResultCode.VERSION_CONFLICT.value:
        sys.exit(ExitCode.CONFLICT)
    sys.exit(ExitCode.FAILED)


def print_table(headings: Sequence[str], rows: list[Sequence[Any]]) -> None:
    """Print rows in columns."""
    texts = [list(headings), *[[str(cell) for cell in row] for row in rows]]
    columns = range(len(headings))
    widths = [max(len(row[column]) for row in texts) for column in columns]
    for row in texts:
        cells = [row[column].ljust(widths[column]) for column in columns]
        click.echo("  ".join(cells).rstrip())


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


pass_client = click.make_pass_decorator(EntryClient)
"""Hands the client to a command."""


class CheckOnlyGroup(click.Group):
    """A group that needs no command to check settings."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Let `--check-settings` stand alone."""
        if "--check-settings" in args:
            self.no_args_is_help = False
            self.invoke_without_command = True
        return super().parse_args(ctx, args)


def client_group(function: Callable[[], None]) -> click.Group:
    """Make a program's main group, which reads the settings."""

    @click.pass_context
    def read(
        ctx: click.Context, settings_path: Path, check_settings: bool
    ) -> None:
        settings = read_settings(settings_path, ClientSettings)
        if check_settings:
            click.echo("the settings are valid")
            ctx.exit(ExitCode.OK)
        ctx.obj = EntryClient(settings)
        ctx.call_on_close(ctx.obj.close)

    read.__doc__ = function.__doc__
    options = settings_options(read)
    return click.group(cls=CheckOnlyGroup)(options)
