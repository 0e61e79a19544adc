"""Stands up a whole site on loopback, for demo, tests and benches."""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
import signal
import ssl
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
from typing import Final

import click
import httpx
import msgspec

from standins.certificates import AUTHORITY
from standins.certificates import CERTIFICATE
from standins.certificates import KEY
from standins.certificates import write_certificates
from standins.ports import PORTS

DATA_CENTRES: Final = ("vest-a", "vest-b", "vest-c", "vest-d")
SECRET: Final = "stand-in-site-shared-secret"
OPERATOR_KEY: Final = "operator-key-of-the-stand-in"
CUSTOMER_KEYS: Final = {
    "fjaervik": "customer-key-of-fjaervik",
    "lautoka": "customer-key-of-lautoka",
}
READY_LIMIT_S: Final = 60.0


class EntryState(msgspec.Struct):
    """An entry of the site."""

    url: str
    """Where its HTTP is served."""
    pid: int
    """Its process."""


class AgentState(msgspec.Struct):
    """An agent of the site."""

    pid: int
    """Its process."""
    data_centre: str
    """Where it is."""
    target: str
    """Its target's URL."""


class TargetState(msgspec.Struct):
    """A target of the site."""

    url: str
    """Where it is served."""
    pid: int
    """Its process."""
    data_centre: str
    """Where it is."""


class PlatformState(msgspec.Struct):
    """The platform's stand-in."""

    url: str
    """Where it is served."""
    pid: int
    """Its process."""


class SiteState(msgspec.Struct):
    """What the state file holds."""

    entries: list[EntryState]
    """All entries."""
    agents: list[AgentState]
    """All agents."""
    targets: list[TargetState]
    """All targets."""
    platform: PlatformState
    """The platform's stand-in."""
    operator_key: str
    """The operators' key."""
    customers: dict[str, str]
    """Each customer's key."""


class Site:
    """The processes of a stand-in site."""

    def __init__(
        self,
        entries: int,
        targets: int,
        data_centres: int,
        folder: Path,
        *,
        with_tls: bool = False,
    ) -> None:
        self._entry_count = entries
        self._target_count = targets
        self._data_centres = DATA_CENTRES[:data_centres]
        self._folder = folder
        self._with_tls = with_tls
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._state: SiteState | None = None

    @property
    def state(self) -> SiteState:
        """The processes and keys of the site."""
        assert self._state is not None
        return self._state

    @property
    def folder(self) -> Path:
        """Where settings and logs are."""
        return self._folder

    def start(self) -> None:
        """Start all processes and wait until the site serves."""
        if self._with_tls:
            write_certificates(self._folder)
        platform = self._start_platform()
        targets = [self._start_target(i) for i in range(self._target_count)]
        agents = [
            self._start_agent(i, target, platform)
            for i, target in enumerate(targets)
        ]
        entries = [
            self._start_entry(i, platform) for i in range(self._entry_count)
        ]
        self._state = SiteState(
            entries=entries,
            agents=agents,
            targets=targets,
            platform=platform,
            operator_key=OPERATOR_KEY,
            customers=CUSTOMER_KEYS,
        )
        self._set_up()

    def close(self) -> None:
        """Stop all processes."""
        for name in ("entry", "agent", "target", "platform"):
            self._stop_all(name)

    def restart(self, name: str) -> int:
        """Start a process again that has ended.

        :param name: for example `entry-0`.
        :returns: its process id.
        """
        return self._spawn(name, self._commands[name])

    def run_agent(self, name: str, settings_path: Path) -> int:
        """Start one more agent from a settings file.

        :returns: its process id.
        """
        executable = Path(sys.executable).parent / "fulmar-agent"
        command = [str(executable), "--settings", str(settings_path)]
        return self._spawn(name, command)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and give its exit code."""
        return self._processes[name].wait(timeout_s)

    def pid(self, name: str) -> int:
        """Give a process's id."""
        return self._processes[name].pid

    def _start_platform(self) -> PlatformState:
        port = PORTS.pick()
        more: list[str] = []
        if self._with_tls:
            more = ["--tls-folder", str(self._folder)]
        pid = self._run_module("platform", "standins.platform", port, *more)
        return PlatformState(f"{self._scheme}://127.0.0.1:{port}", pid)

    def _start_target(self, number: int) -> TargetState:
        port = PORTS.pick()
        name = f"target-{number}"
        pid = self._run_module(name, "standins.target", port)
        url = f"http://127.0.0.1:{port}"
        return TargetState(url, pid, self._data_centre(number))

    def _start_agent(
        self, number: int, target: TargetState, platform: PlatformState
    ) -> AgentState:
        name = f"agent-{number}"
        pid = self._run_program(
            name,
            "fulmar-agent",
            {
                "name": name,
                "data_centre": target.data_centre,
                "target_url": target.url,
                "platform": self._platform_settings(platform),
                "secret": SECRET,
                "tls": self._tls_settings(),
            },
        )
        return AgentState(pid, target.data_centre, target.url)

    def _start_entry(self, number: int, platform: PlatformState) -> EntryState:
        name = f"entry-{number}"
        http_port = PORTS.pick()
        pid = self._run_program(
            name,
            "fulmar-entry",
            {
                "name": name,
                "data_centre": self._data_centre(number),
                "stream_address": f"127.0.0.1:{PORTS.pick()}",
                "http_address": f"127.0.0.1:{http_port}",
                "platform": self._platform_settings(platform),
                "secret": SECRET,
                "tls": self._tls_settings(),
                "operator_key_hashes": [_hash(OPERATOR_KEY)],
                "drain_s": 0.5,
            },
        )
        return EntryState(f"{self._scheme}://127.0.0.1:{http_port}", pid)

    @property
    def _scheme(self) -> str:
        return "https" if self._with_tls else "http"

    def _platform_settings(self, platform: PlatformState) -> dict[str, Any]:
        authority = str(self._folder / AUTHORITY) if self._with_tls else None
        return {"url": platform.url, "authority": authority}

    def _tls_settings(self) -> dict[str, str] | None:
        if not self._with_tls:
            return None
        return {
            "certificate": str(self._folder / CERTIFICATE),
            "key": str(self._folder / KEY),
            "authority": str(self._folder / AUTHORITY),
        }

    def verification(self) -> ssl.SSLContext | bool:
        """Give what a client needs to trust the site."""
        if not self._with_tls:
            return True
        authority = str(self._folder / AUTHORITY)
        return ssl.create_default_context(cafile=authority)

    def _data_centre(self, number: int) -> str:
        return self._data_centres[number % len(self._data_centres)]

    def _run_module(
        self, name: str, module: str, port: int, *more: str
    ) -> int:
        command = [sys.executable, "-m", module, "--port", str(port), *more]
        return self._spawn(name, command)

    def _run_program(
        self, name: str, program: str, settings: dict[str, Any]
    ) -> int:
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        executable = Path(sys.executable).parent / program
        return self._spawn(name, [str(executable), "--settings", str(path)])

    def _spawn(self, name: str, command: list[str]) -> int:
        self._commands[name] = command
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self._processes[name] = process
        return process.pid

    def _set_up(self) -> None:
        client = SiteClient(self.state, self.verification())
        with client:
            for entry in self.state.entries:
                client.wait_ready(entry.url)
            client.set_contracts()
            client.set_data_centres(self._data_centres)
            client.wait_in_force(len(self.state.agents))

    def _stop_all(self, prefix: str) -> None:
        chosen = [
            process
            for name, process in self._processes.items()
            if name.startswith(prefix) and process.poll() is None
        ]
        for process in chosen:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in chosen:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class SiteClient:
    """Sets a new site up through its operators' interface."""

    def __init__(
        self, state: SiteState, verify: ssl.SSLContext | bool
    ) -> None:
        self._state = state
        self._client = httpx.Client(
            verify=verify,
            headers={"authorization": f"Bearer {state.operator_key}"},
            timeout=10,
        )

    def __enter__(self) -> SiteClient:
        return self

    def __exit__(self, *_: object) -> None:
        self._client.close()

    def wait_ready(self, url: str) -> None:
        """Wait until an entry takes callers."""

        def is_ready() -> bool:
            return self._client.get(f"{url}/readyz").status_code == 200

        wait_until(is_ready, READY_LIMIT_S)

    def set_contracts(self) -> None:
        """Write the customers' contracts."""
        for name, key in self._state.customers.items():
            contract = {
                "rate": 20_000,
                "burst": 20_000,
                "largest_job": 1_000,
                "response_time_ms": 1_000,
                "response_share": 0.99,
                "non_idempotent_kinds": ["dispatch_note", "splice_approval"],
                "key_hashes": [_hash(key)],
            }
            self._put(f"/v1/contracts/{name}", contract)

    def set_data_centres(self, names: tuple[str, ...]) -> None:
        """Name the data centres, all in service."""
        for name in names:
            self._put(f"/v1/data-centres/{name}", {"state": "in"})

    def wait_in_force(self, agents: int) -> None:
        """Wait until all entries have the configuration and the agents."""

        def is_complete() -> bool:
            found = [
                self._client.get(f"{entry.url}/v1/status").json()
                for entry in self._state.entries
            ]
            versions = {status["configuration_version"] for status in found}
            lists = {len(status["entries"]) for status in found}
            return (
                len(versions) == 1
                and lists == {len(self._state.entries)}
                and all(
                    sum(a["state"] == "serving" for a in status["agents"])
                    == agents
                    for status in found
                )
            )

        wait_until(is_complete, READY_LIMIT_S)

    def _put(self, path: str, body: dict[str, Any]) -> None:
        response = self._client.put(
            f"{self._state.entries[0].url}{path}",
            json=body,
            headers={"if-none-match": "*"},
        )
        response.raise_for_status()


def wait_until(is_true: Any, limit_s: float) -> None:
    """Ask again and again until something is true.

    :raises TimeoutError: if it does not become true.
    """
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            if is_true():
                return
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"not true within {limit_s} s")


def _hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


@click.command()
@click.option("--entries", default=2, show_default=True)
@click.option("--targets", default=4, show_default=True)
@click.option(
    "--data-centres",
    default=2,
    show_default=True,
    type=click.IntRange(1, len(DATA_CENTRES)),
)
@click.option(
    "--state-file",
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
)
def main(
    entries: int, targets: int, data_centres: int, state_file: Path
) -> None:
    """Stand up a site until SIGTERM; write STATE_FILE once it serves."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(entries, targets, data_centres, Path(folder))
        try:
            site.start()
            partial = state_file.with_suffix(".partial")
            partial.write_bytes(msgspec.json.encode(site.state))
            os.replace(partial, state_file)
            stop.wait()
        finally:
            site.close()


if __name__ == "__main__":
    main()
