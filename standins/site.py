"""Runs a whole site of real processes on loopback.

The site has entries, agents, stand-ins of their targets and a stand-in of the
platform's table. The demo, the tests and the benchmarks use it.
"""

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
"""Names of the data centres; a site has the first few of them."""

SECRET: Final = "stand-in-site-shared-secret"
"""Secret shared by entries and agents."""

OPERATOR_KEY: Final = "operator-key-of-the-stand-in"
"""Key of the operators' interface."""

CUSTOMER_KEYS: Final = {
    "fjaervik": "customer-key-of-fjaervik",
    "lautoka": "customer-key-of-lautoka",
}
"""Key of each customer, by name."""

READY_TIMEOUT_S: Final = 60.0
"""Time for each step until a started site serves."""


class EntryProcess(msgspec.Struct):
    """An entry of the site."""

    url: str
    """Base URL of its HTTP interface."""
    pid: int
    """Process id."""


class AgentProcess(msgspec.Struct):
    """An agent of the site."""

    pid: int
    """Process id."""
    data_centre: str
    """Its data centre."""
    target: str
    """Base URL of its target."""


class TargetProcess(msgspec.Struct):
    """A target of the site."""

    url: str
    """Base URL."""
    pid: int
    """Process id."""
    data_centre: str
    """Its data centre."""


class PlatformProcess(msgspec.Struct):
    """The stand-in of the platform's table."""

    url: str
    """Base URL."""
    pid: int
    """Process id."""


class SiteDescription(msgspec.Struct):
    """Processes and keys of a site, as written to the state file."""

    entries: list[EntryProcess]
    """All entries."""
    agents: list[AgentProcess]
    """All agents."""
    targets: list[TargetProcess]
    """All targets."""
    platform: PlatformProcess
    """The stand-in of the platform's table."""
    operator_key: str
    """Key of the operators' interface."""
    customers: dict[str, str]
    """Key of each customer, by name."""


class Site:
    """The processes of a stand-in site.

    :param entries: number of entries.
    :param targets: number of targets, each with one agent.
    :param data_centres: number of data centres; processes are assigned to
        them in turn.
    :param folder: where settings, logs and certificates are written.
    :param with_tls: whether entries, agents and the platform use TLS.
    """

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
        self._data_centre_names = DATA_CENTRES[:data_centres]
        self._folder = folder
        self._with_tls = with_tls
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        """Command line of each process, by name, for its restart."""
        self._state: SiteDescription | None = None

    @property
    def state(self) -> SiteDescription:
        """The processes and keys of a started site."""
        assert self._state is not None
        return self._state

    @property
    def folder(self) -> Path:
        """The folder of settings and logs."""
        return self._folder

    def start(self) -> None:
        """Start and configure all processes; return once the site serves."""
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
        self._state = SiteDescription(
            entries=entries,
            agents=agents,
            targets=targets,
            platform=platform,
            operator_key=OPERATOR_KEY,
            customers=CUSTOMER_KEYS,
        )
        self._configure()

    def close(self) -> None:
        """Stop all processes, callers' side first."""
        for name in ("entry", "agent", "target", "platform"):
            self._stop_all(name)

    def restart(self, name: str) -> int:
        """Restart a process that has ended, with its old command line.

        :param name: its name, for example `entry-0`.
        :returns: the new process id.
        """
        return self._spawn(name, self._commands[name])

    def start_extra_agent(self, name: str, settings_path: Path) -> int:
        """Start an additional agent.

        :param name: a name for the process and its log.
        :param settings_path: the agent's settings file.
        :returns: its process id.
        """
        executable = Path(sys.executable).parent / "fulmar-agent"
        command = [str(executable), "--settings", str(settings_path)]
        return self._spawn(name, command)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        return self._processes[name].wait(timeout_s)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def _start_platform(self) -> PlatformProcess:
        port = PORTS.pick()
        extra: list[str] = []
        if self._with_tls:
            extra = ["--tls-folder", str(self._folder)]
        pid = self._run_module("platform", "standins.platform", port, *extra)
        return PlatformProcess(f"{self._scheme}://127.0.0.1:{port}", pid)

    def _start_target(self, index: int) -> TargetProcess:
        port = PORTS.pick()
        name = f"target-{index}"
        pid = self._run_module(name, "standins.target", port)
        url = f"http://127.0.0.1:{port}"
        return TargetProcess(url, pid, self._data_centre_of(index))

    def _start_agent(
        self, index: int, target: TargetProcess, platform: PlatformProcess
    ) -> AgentProcess:
        name = f"agent-{index}"
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
        return AgentProcess(pid, target.data_centre, target.url)

    def _start_entry(
        self, index: int, platform: PlatformProcess
    ) -> EntryProcess:
        name = f"entry-{index}"
        http_port = PORTS.pick()
        pid = self._run_program(
            name,
            "fulmar-entry",
            {
                "name": name,
                "data_centre": self._data_centre_of(index),
                "stream_address": f"127.0.0.1:{PORTS.pick()}",
                "http_address": f"127.0.0.1:{http_port}",
                "platform": self._platform_settings(platform),
                "secret": SECRET,
                "tls": self._tls_settings(),
                "operator_key_hashes": [_hash(OPERATOR_KEY)],
                "drain_s": 0.5,
            },
        )
        return EntryProcess(f"{self._scheme}://127.0.0.1:{http_port}", pid)

    @property
    def _scheme(self) -> str:
        return "https" if self._with_tls else "http"

    def _platform_settings(self, platform: PlatformProcess) -> dict[str, Any]:
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

    def tls_verification(self) -> ssl.SSLContext | bool:
        """Return how a client verifies the site's certificates.

        :returns: a context that trusts the site's authority; true, the
            clients' default, without TLS.
        """
        if not self._with_tls:
            return True
        authority = str(self._folder / AUTHORITY)
        return ssl.create_default_context(cafile=authority)

    def _data_centre_of(self, index: int) -> str:
        return self._data_centre_names[index % len(self._data_centre_names)]

    def _run_module(
        self, name: str, module: str, port: int, *extra: str
    ) -> int:
        command = [sys.executable, "-m", module, "--port", str(port), *extra]
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

    def _configure(self) -> None:
        client = OperatorClient(self.state, self.tls_verification())
        with client:
            for entry in self.state.entries:
                client.wait_ready(entry.url)
            client.set_contracts()
            client.set_data_centres(self._data_centre_names)
            client.wait_until_configured(len(self.state.agents))

    def _stop_all(self, prefix: str) -> None:
        running = [
            process
            for name, process in self._processes.items()
            if name.startswith(prefix) and process.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in running:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class OperatorClient:
    """Client of the operators' interface that configures a new site.

    :param state: the site.
    :param verify: how the site's certificates are verified.
    """

    def __init__(
        self, state: SiteDescription, verify: ssl.SSLContext | bool
    ) -> None:
        self._state = state
        self._client = httpx.Client(
            verify=verify,
            headers={"authorization": f"Bearer {state.operator_key}"},
            timeout=10,
        )

    def __enter__(self) -> OperatorClient:
        return self

    def __exit__(self, *_: object) -> None:
        self._client.close()

    def wait_ready(self, url: str) -> None:
        """Wait until an entry is ready for callers."""

        def is_ready() -> bool:
            return self._client.get(f"{url}/readyz").status_code == 200

        wait_until(is_ready, READY_TIMEOUT_S)

    def set_contracts(self) -> None:
        """Create the customers' contracts."""
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
        """Create the data centres, all in service."""
        for name in names:
            self._put(f"/v1/data-centres/{name}", {"state": "in"})

    def wait_until_configured(self, agents: int) -> None:
        """Wait until all entries agree on configuration, entries and agents.

        :param agents: the number of agents to be serving.
        """

        def is_complete() -> bool:
            statuses = [
                self._client.get(f"{entry.url}/v1/status").json()
                for entry in self._state.entries
            ]
            versions = {status["configuration_version"] for status in statuses}
            lists = {len(status["entries"]) for status in statuses}
            return (
                len(versions) == 1
                and lists == {len(self._state.entries)}
                and all(
                    sum(a["state"] == "serving" for a in status["agents"])
                    == agents
                    for status in statuses
                )
            )

        wait_until(is_complete, READY_TIMEOUT_S)

    def _put(self, path: str, body: dict[str, Any]) -> None:
        response = self._client.put(
            f"{self._state.entries[0].url}{path}",
            json=body,
            headers={"if-none-match": "*"},
        )
        response.raise_for_status()


def wait_until(is_true: Any, limit_s: float) -> None:
    """Poll a condition until it is true.

    A failed connection counts as false.

    :param is_true: the condition.
    :param limit_s: the timeout.
    :raises TimeoutError: if it is not true within the timeout.
    """
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            if is_true():
                return
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"condition is not true after {limit_s} s")


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
    """Run a site until SIGTERM; write STATE_FILE once it serves."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
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
