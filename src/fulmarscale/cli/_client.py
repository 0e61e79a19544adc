"""HTTP client of the entries and output helpers for command-line programs."""

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


class EntryResponse(msgspec.Struct, frozen=True):
    """An entry's response."""

    status: int
    """The HTTP status."""
    body: Any
    """The decoded JSON body; none if it is empty."""
    etag: str | None
    """The row's version; none if the response has none."""
    in_force_ms: int
    """Milliseconds until an accepted change is in force everywhere."""


class EntryClient:
    """Client of the entries in the settings, tried in order."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        context = ssl.create_default_context(cafile=settings.authority)
        self._client = httpx.Client(timeout=settings.timeout_s, verify=context)

    def close(self) -> None:
        """Close connections."""
        self._client.close()

    def send_as_operator(
        self, method: str, path: str, **options: Any
    ) -> EntryResponse:
        """Send a request with the operator's key to one entry.

        The first entry that responds is used. Ends the program if none does
        or the key is missing.
        """
        key = self._settings.operator_key
        return self._send_to_first(method, path, key, "operator_key", options)

    def send_as_customer(
        self, method: str, path: str, **options: Any
    ) -> EntryResponse:
        """Send a request with the customer's key to one entry.

        The first entry that responds is used. Ends the program if none does
        or the key is missing.
        """
        key = self._settings.customer_key
        return self._send_to_first(method, path, key, "customer_key", options)

    def send_to_all_as_operator(
        self, method: str, path: str, **options: Any
    ) -> list[EntryResponse]:
        """Send a request with the operator's key to every entry.

        :returns: the responses; entries that can't be reached have none.
        """
        key = self._settings.operator_key
        responses = []
        for url in self._settings.entries:
            response = self._send(url, method, path, key, options)
            if response is not None:
                responses.append(response)
        return responses

    def read_metrics(self) -> list[str]:
        """Return the metrics of every entry that can be reached."""
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

    def _send_to_first(
        self,
        method: str,
        path: str,
        key: str | None,
        key_name: str,
        options: dict[str, Any],
    ) -> EntryResponse:
        if key is None:
            click.echo(f"the settings have no {key_name}", err=True)
            sys.exit(ExitCode.SETTINGS)
        for url in self._settings.entries:
            response = self._send(url, method, path, key, options)
            if response is not None:
                return response
        click.echo("no entry responded", err=True)
        sys.exit(ExitCode.UNREACHABLE)

    def _send(
        self,
        url: str,
        method: str,
        path: str,
        key: str | None,
        options: dict[str, Any],
    ) -> EntryResponse | None:
        headers = dict(options.get("headers", {}))
        headers["authorization"] = f"Bearer {key}"
        other_options = {k: v for k, v in options.items() if k != "headers"}
        try:
            response = self._client.request(
                method, f"{url}{path}", headers=headers, **other_options
            )
        except httpx.TransportError:
            return None
        in_force = response.headers.get("fulmarscale-in-force-ms", "0")
        return EntryResponse(
            status=response.status_code,
            body=response.json() if response.content else None,
            etag=response.headers.get("etag"),
            in_force_ms=int(in_force),
        )


def require_success(response: EntryResponse) -> EntryResponse:
    """Return the response; ends the program if the request was rejected."""
    if response.status < httpx.codes.BAD_REQUEST:
        return response
    body = response.body if isinstance(response.body, dict) else {}
    code = body.get("code", 0)
    title = body.get("title", "")
    click.echo(f"{code} {title}: {body.get('detail', '')}", err=True)
    if code == ResultCode.VERSION_CONFLICT.value:
        sys.exit(ExitCode.CONFLICT)
    sys.exit(ExitCode.FAILED)


def print_table(headings: Sequence[str], rows: list[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    texts = [list(headings), *[[str(cell) for cell in row] for row in rows]]
    columns = range(len(headings))
    widths = [max(len(row[column]) for row in texts) for column in columns]
    for row in texts:
        cells = [row[column].ljust(widths[column]) for column in columns]
        click.echo("  ".join(cells).rstrip())


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


pass_client = click.make_pass_decorator(EntryClient)
"""Decorator that passes the client to a command."""


class SettingsCheckGroup(click.Group):
    """Command group that accepts `--check-settings` without a command."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse arguments; a command is optional after `--check-settings`."""
        if "--check-settings" in args:
            self.no_args_is_help = False
            self.invoke_without_command = True
        return super().parse_args(ctx, args)


def client_group(function: Callable[[], None]) -> click.Group:
    """Create a program's main command group, which reads the settings.

    :param function: its docstring becomes the group's help text.
    """

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
    return click.group(cls=SettingsCheckGroup)(options)
