"""Steps with clients that cost a process more than they send."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import use_fixture
from behave import when

from features.steps.hostile_client_steps import ask
from features.steps.hostile_client_steps import HostileScene
from features.steps.hostile_client_steps import run_site
from features.support.busy_crowd import busy_bytes
from features.support.busy_crowd import SIZES
from features.support.hostile_crowd import BODY_BYTES
from features.support.process_site import ProcessSite

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from behave.runner import Context

MEMORY_MB: Final = 96
"""The memory of the VMs of the test's site."""

CONNECTIONS: Final = 1_000
"""The limit of callers' connections, in the settings of the test's site."""

BEGIN_S: Final = 1.0
"""How long a crowd sends before an ordinary request is made."""


@given("a site of small VMs")
def make_small_site(context: Context) -> None:
    make_site(context, CONNECTIONS)


@given("a site of small VMs with {connections:d} connections of callers")
def make_site(context: Context, connections: int) -> None:
    site = ProcessSite(
        Path(context.folder),
        1,
        1,
        max_body_bytes=BODY_BYTES,
        connections=connections,
        memory_mb=MEMORY_MB,
    )
    use_fixture(run_site, context, site)


@when("a crowd begins to send {kind} to the {listener} of the {role}")
def begin_crowd(context: Context, kind: str, listener: str, role: str) -> None:
    begin(context, make_crowd(context, kind, listener, role))


def make_crowd(
    context: Context, kind: str, listener: str, role: str
) -> Coroutine[None, None, None]:
    """Return what a crowd does."""
    context.scene = scene = context.scenes[role]
    target = scene.target.get(listener, b"/")
    size = SIZES[kind]
    return scene.add_crowd(listener).send_each(
        size.clients,
        size.client_bytes,
        lambda: busy_bytes(kind, role, target, scene.fields),
    )


@when("a crowd has sent {kind} to the {listener} of the {role}")
def send_crowd(context: Context, kind: str, listener: str, role: str) -> None:
    context.run(make_crowd(context, kind, listener, role))


@when("{count:d} clients begin to connect to the {listener} of the {role}")
def begin_to_connect(
    context: Context, count: int, listener: str, role: str
) -> None:
    context.scene = scene = context.scenes[role]
    begin(context, scene.add_crowd(listener).connect_many(count))


def begin(context: Context, work: Coroutine[None, None, None]) -> None:
    """Let a crowd go on while the next steps run."""

    async def start() -> None:
        context.sending = asyncio.create_task(work)
        await asyncio.sleep(BEGIN_S)

    context.run(start())


@then("an ordinary job is done while the crowd sends and afterwards")
def check_job(context: Context) -> None:
    async def check() -> None:
        scene: HostileScene = context.scene
        try:
            await ask(context, scene.addresses, "callers")
            await context.sending
            await ask(context, scene.addresses, "callers")
        finally:
            context.sending.cancel()
            with suppress(asyncio.CancelledError):
                await context.sending

    context.run(check())


@then("the process has stayed within the memory of its VM")
def check_memory(context: Context) -> None:
    highest_mb = context.scene.gauge.highest_mb
    print(f"used {highest_mb:.1f} MB at most")
    assert highest_mb <= MEMORY_MB, highest_mb
