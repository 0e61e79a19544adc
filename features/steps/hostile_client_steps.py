"""Steps with clients that keep to no limit, at real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import use_fixture
from behave import when
from behave.fixture import fixture
import msgspec

from features.support.hostile_crowd import BODY_BYTES
from features.support.hostile_crowd import Crowd
from features.support.hostile_crowd import ProcessGauge
from features.support.hostile_crowd import SETTLE_S
from features.support.process_site import make_job
from features.support.process_site import ProcessSite
from fulmarscale.platform.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

CONNECTIONS: Final = 50
"""The limit of callers' connections, in the settings of the test's site."""

STOP_LIMIT_S: Final = 6.0
"""The grace after SIGTERM."""

TARGETS: Final = {
    "callers": b"/quick/00000000000000a1",
    "readiness": b"/api/ready",
    "metrics": b"/metrics",
    "heartbeats": b"/api/Instances.Heartbeat/i-0",
}
ORDINARY: Final = {
    "readiness": ("GET", "/api/ready", b""),
    "metrics": ("GET", "/metrics", b""),
    "heartbeats": ("POST", "/api/Instances.Deregister/i-9", b"{}"),
}


class HostileScene:
    """A process, its listeners, and the crowds at them."""

    def __init__(self, addresses: dict[str, str], pid: int) -> None:
        self.addresses = addresses
        self.gauge = ProcessGauge(pid)
        self.crowds: list[Crowd] = []
        self.target = TARGETS
        self.fields = b""

    def add_crowd(self, listener: str) -> Crowd:
        crowd = Crowd(self.addresses[listener])
        self.crowds.append(crowd)
        return crowd

    def close(self) -> None:
        for crowd in self.crowds:
            crowd.close()


@fixture
def run_site(context: Context, site: ProcessSite) -> Iterator[None]:
    """Run a site whose stand-ins share the event loop of the steps."""
    context.site = site
    context.scenes = {}
    with asyncio.Runner() as runner:
        context.run = runner.run
        try:
            runner.run(start(site))
            for role, name in (("entry", "entry-0"), ("agent", "agent-0")):
                context.scenes[role] = HostileScene(
                    site.listeners(name), site.processes[name].pid
                )
            yield
        finally:
            for scene in context.scenes.values():
                scene.close()
            runner.run(site.__aexit__())


async def start(site: ProcessSite) -> None:
    async with asyncio.timeout(30):
        await site.__aenter__()
        await site.settle()


@given("a site for a hostile crowd")
def make_hostile_site(context: Context) -> None:
    site = ProcessSite(
        Path(context.folder),
        1,
        1,
        max_body_bytes=BODY_BYTES,
        connections=CONNECTIONS,
    )
    use_fixture(run_site, context, site)


@given("the own path's entry for a hostile crowd")
def make_hostile_own_site(context: Context) -> None:
    site = context.driver.site
    path = site.folder / "entry-0.json"
    settings = msgspec.json.decode(path.read_bytes())
    scene = HostileScene(
        {
            "callers": settings["http_address"],
            "streams": settings["stream_address"],
        },
        site.pid("entry-0"),
    )
    key = site.state.customers["fjaervik"].encode()
    submission_id = context.driver.mint_ids(0)[0].encode()
    scene.fields = b"Authorization: Bearer %b\r\nIdempotency-Key: %b\r\n" % (
        key,
        submission_id,
    )
    scene.target = {"callers": b"/v1/jobs"}
    context.scenes = {"own entry": scene}
    context.run = asyncio.run
    context.add_cleanup(scene.close)


@when("a crowd with {fault} is at the {listener} of the {role}")
def send_crowd(context: Context, fault: str, listener: str, role: str) -> None:
    context.scene = scene = context.scenes[role]
    crowd = scene.add_crowd(listener)
    if listener == "streams":
        context.run(crowd.send_messages())
        return
    target = scene.target[listener]
    if fault.startswith("bodies for no queue"):
        target = b"/nowhere/1"
    context.run(crowd.send(fault, target, scene.fields))


@when(
    "{count:d} connections that send {what} are at the {listener}"
    " of the {role}"
)
def connect_crowd(
    context: Context, count: int, what: str, listener: str, role: str
) -> None:
    context.scene = scene = context.scenes[role]
    data = {"nothing": b"", "one byte": b"G"}[what]
    scene.add_crowd(listener).connect(count, data)


@when("the {role} is asked to stop")
def ask_to_stop(context: Context, role: str) -> None:
    context.stopping = context.site.processes[f"{role}-0"]
    context.stopping.terminate()


@then("the process has ended by itself")
def check_stopped(context: Context) -> None:
    async def wait() -> int | None:
        async with asyncio.timeout(STOP_LIMIT_S):
            while context.stopping.poll() is None:
                await asyncio.sleep(0.05)
        return context.stopping.returncode

    assert context.run(wait()) == 0


@then("the process has grown by at most {bound_mb:d} MB")
def check_growth(context: Context, bound_mb: int) -> None:
    growth_mb = context.scene.gauge.growth_mb
    print(f"grown by {growth_mb:.1f} MB")
    assert growth_mb <= bound_mb, growth_mb


@then("the process keeps at most {bound:d} connections of the crowd")
def check_connections(context: Context, bound: int) -> None:
    async def wait() -> int:
        deadline_at = asyncio.get_running_loop().time() + SETTLE_S
        while asyncio.get_running_loop().time() < deadline_at:
            if context.scene.gauge.more_sockets <= bound:
                break
            await asyncio.sleep(0.05)
        return context.scene.gauge.more_sockets

    count = context.run(wait())
    assert count <= bound, count


@then("an ordinary request to the {listener} of the {role} is answered")
def check_ordinary(context: Context, listener: str, role: str) -> None:
    context.run(ask(context, context.scenes[role].addresses, listener))


async def ask(
    context: Context, addresses: dict[str, Any], listener: str
) -> None:
    """Make an ordinary request, and let the site run a job."""
    async with asyncio.timeout(3 * SETTLE_S):
        if listener in ORDINARY:
            client = HttpClient(addresses[listener], 1)
            method, path, body = ORDINARY[listener]
            response = await client.call(method, path, body, SETTLE_S)
            client.close()
            assert response.status == 200, response
        status = 0
        number = 0
        while status != 200:
            # 503 promises that the job never runs and that one may try again.
            assert status in (0, 503), status
            number += 1
            status = await context.site.submit(
                "entry-0", f"ee{number:014x}", make_job(1, 60), SETTLE_S
            )
            await asyncio.sleep(0.1)


@then("an ordinary submission to the own path is done")
def check_own_ordinary(context: Context) -> None:
    driver = context.driver
    submission_id = driver.mint_ids(0)[0]
    answer = driver.submit(submission_id, [1], kind="echo")
    assert answer.outcome == "done", answer
