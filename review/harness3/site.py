"""A small site on loopback for the scripts of the third review.

Entries and agents are processes of their own, started with the commands of
the deploy file and settings as its templates give them. The store and the
runners are the project's stand-ins in the event loop of the script. All that
is sent, answered and run is written to `record.txt` in the case's folder.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
from pathlib import Path
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import Final
from typing import TextIO
from typing import TYPE_CHECKING

from review.harness3.runner import RackRunner
from review.harness3.store_gate import StoreGate
from standins.ports import PORTS
from standins.row_store import RowStoreStandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

REPOSITORY: Final = Path(__file__).resolve().parents[2]
HOST: Final = "127.0.0.1"
SERVICE: Final = "ordrebok"
ZONES: Final = ("vest-a", "vest-b", "vest-c", "vest-d")
QUEUE_HOST: Final = "nony24.example"
PREFIX: Final = "/notes/"
RACK_SIZE: Final = 3
"""Runners in a rack, as on the small sites; each rack is in one zone."""

MEMORY_MB: Final = {"entry": 300, "agent": 168}
"""Memory of a machine, as on the small sites."""

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2


class CaseError(Exception):
    """The case could not be set up as it is meant."""


class Record:
    """The record of a case: lines with the time since its start."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / "record.txt").open(
            "w", encoding="utf-8"
        )
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line, also to the standard output."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, flush=True)
        self._file.write(f"{line}\n")
        self._file.flush()


class Site:
    """A site of entries and agents with a runner beside each agent.

    :param record: the record of the case.
    :param entries: the number of entries.
    :param agents: the number of agents.
    :param max_attempts: `maxAttempts` of the queue.
    :param gated: names of entries that reach the store by a gate.
    """

    def __init__(
        self,
        record: Record,
        entries: int,
        agents: int,
        max_attempts: int = 3,
        gated: tuple[str, ...] = (),
    ) -> None:
        self.record = record
        self.store = RowStoreStandIn()
        self.runners: list[RackRunner] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._entries = [f"entry-{number}" for number in range(entries)]
        self._agents = [f"agent-{number}" for number in range(agents)]
        self._gated = gated
        self.gates: dict[str, StoreGate] = {}
        self._callers: dict[str, int] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._max_attempts = max_attempts
        roles = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text("utf-8")
        )["roles"]
        self._commands = {
            name: shlex.split(role["run"]) for name, role in roles.items()
        }

    async def start(self) -> None:
        """Start all parts and wait until all entries are ready."""
        await self.store.start()
        self.put_config(1)
        for name in self._gated:
            self.gates[name] = StoreGate(self.store.address)
            await self.gates[name].start()
        for number, name in enumerate(self._agents):
            control = f"{HOST}:{PORTS.pick()}"
            self._write_settings(
                number // RACK_SIZE,
                name,
                heartbeat_address=control,
                stream_port=PORTS.pick(),
            )
            self.start_process(name)
            runner = RackRunner(
                f"i-{number:08x}",
                SERVICE,
                ZONES[number // RACK_SIZE % len(ZONES)],
                control,
                PORTS.pick(),
            )
            runner.rack = f"r1-{number // RACK_SIZE + 1}"
            self.runners.append(runner)
            await runner.start()
        ready = {}
        for number, name in enumerate(self._entries):
            self._callers[name] = PORTS.pick()
            ready[name] = PORTS.pick()
            self._write_settings(
                number,
                name,
                caller_address=f"{HOST}:{self._callers[name]}",
                ready_address=f"{HOST}:{ready[name]}",
                far_factor=1.5,
            )
            self.start_process(name)
        try:
            for port in ready.values():
                await self.wait(
                    lambda port=port: self._is_ready(port), 20, "readiness"
                )
        except CaseError:
            self._write_state()
            raise
        await asyncio.sleep(2.0)
        self.record.write(
            f"site: {len(self._entries)} entries, {len(self._agents)} agents"
        )

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners:
            if runner.is_up:
                await runner.stop()
        for gate in self.gates.values():
            await gate.close()
        await self.store.close()
        self._folder.cleanup()

    def put_config(self, version: int, **limits: Any) -> None:
        """Write the operator's configuration."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "notes",
                    "host": QUEUE_HOST,
                    "pathPrefix": PREFIX,
                    "service": SERVICE,
                    "priority": 0,
                    "maxAttempts": self._max_attempts,
                    "stretch": 1.6,
                    "targetLatencyMs": 60,
                }
            ],
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262144, **limits},
        }
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.put("op", "config", value)

    def start_process(self, name: str) -> None:
        """Start a program as on a machine."""
        role = name.partition("-")[0]
        command = list(self._commands[role])
        command[0] = sys.executable
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env={
                "PATH": os.environ["PATH"],
                "HOME": self._folder.name,
                "PYTHONPATH": str(REPOSITORY / "target/deps"),
                "FULMARSCALE_BOOT": str(self._settings_path(name)),
                "VM_MEMORY_MB": str(MEMORY_MB[role]),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"start {name}")

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.record.write(f"SIGKILL {name}")
        self.processes[name].kill()
        self.processes[name].wait()

    def log_text(self, name: str) -> str:
        """Return what a process has logged."""
        path = Path(self._folder.name) / f"{name}.log"
        return path.read_text("utf-8", "replace")

    async def call(
        self,
        entry: str,
        method: str,
        job_id: str,
        body: Any = None,
        timeout_s: float = 2.0,
    ) -> tuple[int, Any]:
        """Send a caller's request.

        :returns: status and content; status 0 if there was no answer.
        """
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {PREFIX}{job_id} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
            "Content-Type: application/json\r\n"
            f"Deadline-Ms: {round(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        )
        answer = b""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    HOST, self._callers[entry]
                )
                try:
                    writer.write(head.encode() + data)
                    answer = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            self.record.write(f"{method} {job_id} at {entry}: {error!r}")
            return 0, None
        status, content = _parse(answer)
        self.record.write(
            f"{method} {job_id} at {entry}: {status} {json.dumps(content)}"
        )
        return status, content

    async def wait(
        self,
        is_met: Callable[[], Any | Awaitable[Any]],
        timeout_s: float,
        what: str,
    ) -> Any:
        """Wait until a condition is met and return its value.

        :raises CaseError: if that takes too long.
        """
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            value = is_met()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.005)
        raise CaseError(f"no {what} within {timeout_s} s")

    def write_runs(self) -> None:
        """Write all runs on the runners to the record."""
        runs = [run for runner in self.runners for run in runner.runs]
        loop_time = asyncio.get_running_loop().time()
        for run in sorted(runs, key=lambda run: run.began_at):
            began_s = run.began_at - loop_time
            ended_s = run.ended_at - loop_time
            self.record.write(
                f"run {run.task} number {run.number} on {run.runner} "
                f"(born {run.born}): from {began_s:.3f} to {ended_s:.3f} s, "
                f"{run.outcome or 'runs'}, noted: {run.is_noted}"
            )

    def _write_state(self) -> None:
        """Write what the processes last logged, as the site isn't ready."""
        for name, process in self.processes.items():
            self.record.write(f"{name}: exit status {process.poll()}")
            for line in self.log_text(name).splitlines()[-12:]:
                self.record.write(f"{name}: {line}")

    async def _is_ready(self, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            return False
        writer.write(
            b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        answer = await reader.read()
        writer.close()
        return b" 200 " in answer.split(b"\r\n", 1)[0]

    def _settings_path(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.json"

    def _write_settings(self, number: int, name: str, **fields: Any) -> None:
        gate = self.gates.get(name)
        settings = {
            "name": name,
            "data_centre": ZONES[number % len(ZONES)],
            "address": HOST,
            "metrics_port": PORTS.pick(),
            "store_address": gate.address if gate else self.store.address,
            **fields,
        }
        self._settings_path(name).write_text(json.dumps(settings), "utf-8")


def _parse(answer: bytes) -> tuple[int, Any]:
    head, _, body = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if len(words) < 2 or not words[1].isdigit():
        return 0, None
    try:
        return int(words[1]), json.loads(body)
    except ValueError:
        return int(words[1]), None


def run_case(
    folder: Path,
    case: Callable[[Record, bool], Awaitable[bool]],
) -> int:
    """Run a case and return its exit status.

    :param folder: the case's folder.
    :param case: the case; called with the record and whether to disrupt,
        returns whether the rule held.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")

    async def run() -> bool:
        # Stand-ins cancel the handlers of the connections that they abort.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(110):
            return await case(record, has_trouble)

    try:
        is_held = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    record.write("the rule held" if is_held else "THE RULE WAS BROKEN")
    return HELD if is_held else BROKEN
