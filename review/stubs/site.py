"""A small deployment on loopback: the project's programs and stand-ins.

The programs are started with the commands of the deploy file, and with
settings made from its templates.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
import json
import logging
import os
from pathlib import Path
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import TYPE_CHECKING

from stubs.store import Store
from stubs.web import call

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "ordrebok"
QUEUE_HOST = "orders.example"
PREFIX = "/notes/"

BROKEN = 1
HELD = 0
NOT_RUN = 2

PASSED_ON = ("PATH", "HOME", "JAVA_HOME", "LANG")
"""The variables of the caller that a program receives."""


class Site:
    """A store, entries, and runners with their agents."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.temp = Path(tempfile.mkdtemp(prefix="fulmar-review-"))
        self.events_path = self.temp / "runners.jsonl"
        self.events_path.touch()
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._since = time.monotonic()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._fields: dict[str, dict[str, Any]] = {}
        self._runners: dict[str, dict[str, Any]] = {}
        self._ports: set[int] = set()
        self._store_address = self._free_address()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        line = f"{time.monotonic() - self._since:8.3f}  {text}"
        print(line, file=self._record)

    def _free_address(self) -> str:
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return f"{HOST}:{port}"

    async def start(self, *, target_latency_ms: int = 60) -> None:
        """Start the store and write the operator's configuration."""
        host, _, port = self._store_address.rpartition(":")
        await self.store.start(host, int(port))
        route = {
            "name": "dispatch-note",
            "host": QUEUE_HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 1.6,
            "targetLatencyMs": target_latency_ms,
        }
        services = [{"name": SERVICE, "enforcesCapacity": False}]
        config = {
            "version": 3,
            "routes": [route],
            "services": services,
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op", "config", config)

    # Processes

    def start_entry(self, name: str, zone: str = "vest-a") -> None:
        """Start an entry, or start it again with its former addresses."""
        self._start_program("entry", name, zone)

    def start_agent(self, name: str, zone: str = "vest-a") -> None:
        """Start an agent, or start it again with its former addresses."""
        self._start_program("agent", name, zone)

    def _start_program(self, role: str, name: str, zone: str) -> None:
        if name not in self._fields:
            ports = [
                int(self._free_address().rpartition(":")[2]) for _ in range(2)
            ]
            self._fields[name] = {
                "nodeName": name,
                "zone": zone,
                "ip": HOST,
                "internalPorts": ports,
                "listen": {
                    "front": self._free_address(),
                    "ready": self._free_address(),
                    "control": self._free_address(),
                },
                "platform": {"address": self._store_address},
            }
        template = (ROOT / self._roles[role]["template"]).read_text()
        settings = self.temp / f"{name}.json"
        settings.write_text(_render(template, self._fields[name]))
        words = self._roles[role]["run"].split()
        variables = {
            key: os.environ[key] for key in PASSED_ON if key in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["FULMARSCALE_BOOT"] = str(settings)
        self._spawn(name, words, ROOT, variables)

    def start_runner(
        self,
        machine: str,
        agent: str,
        runner_id: str,
        zone: str = "vest-a",
        **fields: Any,
    ) -> None:
        """Start a runner's life on a machine.

        :param fields: further settings: `clock_ms`, `first_beat_s`,
            `labels`, `answer_s`; `late_job` and `late_s` for a start order
            that is carried out late.
        """
        known = self._runners.setdefault(
            machine, {"address": self._free_address()}
        )
        settings = {
            "machine": machine,
            "id": runner_id,
            "address": known["address"],
            "control": self._fields[agent]["listen"]["control"],
            "service": SERVICE,
            "zone": zone,
            "log": str(self.events_path),
            "clock_ms": 0,
            **fields,
        }
        path = self.temp / f"{machine}.json"
        path.write_text(json.dumps(settings))
        words = [sys.executable, "-m", "stubs.runner", str(path)]
        self._spawn(machine, words, ROOT / "review", dict(os.environ))

    def _spawn(
        self, name: str, words: list[str], folder: Path, env: dict[str, str]
    ) -> None:
        output = (self.temp / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            words, cwd=folder, env=env, stdout=output, stderr=output
        )
        output.close()
        self.note(f"started {name}")

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.note(f"killed {name} (SIGKILL)")

    async def terminate(self, name: str) -> None:
        """Send SIGTERM, and SIGKILL after 6 s (`graceS`)."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        self.note(f"sent SIGTERM to {name}")
        try:
            await asyncio.to_thread(process.wait, 6.0)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.note(f"{name} has ended, code {process.returncode}")

    def is_up(self, name: str) -> bool:
        """Return whether a process is running."""
        return self._processes[name].poll() is None

    # Callers

    async def ready(self, entry: str) -> bool:
        """Return whether the entry reports itself ready."""
        address = self._fields[entry]["listen"]["ready"]
        status, _ = await call(address, "GET", "/api/ready", timeout_s=1.0)
        return status == 200

    async def ask(
        self,
        entry: str,
        method: str,
        job: str,
        content: Any = None,
        wait_s: float = 1.5,
    ) -> tuple[int, Any]:
        """Send a caller's request and record it."""
        address = self._fields[entry]["listen"]["front"]
        headers = {
            "Host": QUEUE_HOST,
            "Deadline-Ms": str(round(wait_s * 1000)),
        }
        sent_at = time.monotonic() - self._since
        status, answer = await call(
            address, method, PREFIX + job, content, headers, wait_s
        )
        text = "no answer" if status == 0 else f"{status} {answer}"
        self.note(f"{entry}: {method} {job} sent at {sent_at:.3f}: {text}")
        return status, answer

    # Observations

    def events(self) -> list[dict[str, Any]]:
        """Return what the runners have logged so far, in order of time."""
        lines = self.events_path.read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return sorted(events, key=lambda event: event["at"])

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Return the runs of each task with their start, end and outcome."""
        runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for event in self.events():
            if event["event"] == "start":
                run = {**event, "ended_at": None, "how": None}
                runs[event["task"]].append(run)
            if event["event"] == "end":
                for run in runs[event["task"]]:
                    same = ("runner", "born", "run")
                    if all(run[key] == event[key] for key in same):
                        run["ended_at"] = event["at"]
                        run["how"] = event["how"]
        return dict(runs)

    def done(self, job: str) -> int:
        """Return the number of a job's tasks with a run that ended `done`."""
        return sum(
            any(run["how"] == "done" for run in runs)
            for task, runs in self.runs().items()
            if task.startswith(job + ".")
        )

    def running(self, job: str) -> list[str]:
        """Return the job's tasks that run now, by the runners' logs."""
        lives = {
            event["runner"]: event["born"]
            for event in self.events()
            if event["event"] == "up"
        }
        return [
            task
            for task, runs in self.runs().items()
            if task.startswith(job + ".")
            and any(
                run["ended_at"] is None and lives[run["runner"]] == run["born"]
                for run in runs
            )
        ]

    async def until(
        self, condition: Callable[[], Any], timeout_s: float
    ) -> bool:
        """Wait until a condition holds; it may be a coroutine function."""
        deadline_at = time.monotonic() + timeout_s
        while time.monotonic() < deadline_at:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.02)
        return False

    def close(self) -> None:
        """End all processes, and add what the runners saw to the record."""
        for name in list(self._processes):
            process = self._processes.pop(name)
            process.kill()
            process.wait()
        print("\nwhat the runners saw:", file=self._record)
        for event in self.events():
            event["at"] = round(event["at"] - self._since, 3)
            print(json.dumps(event), file=self._record)
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp)


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template, as the page "DEPLOY" says."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for key in match[1].split("."):
            found = found[int(key)] if key.isdigit() else found[key]
        return json.dumps(found)

    return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template)


def run_case(folder: Path, scenario: Any, **config: Any) -> None:
    """Run a scenario and exit with its verdict.

    :param config: passed to `Site.start`.
    """

    verdict = NOT_RUN

    async def run() -> None:
        nonlocal verdict
        site = Site(folder)
        try:
            async with asyncio.timeout(115):
                await site.start(**config)
                verdict = await scenario(site)
        finally:
            site.close()

    try:
        asyncio.run(run())
    except Exception:
        logging.exception("the case could not run")
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the complaints of connections that are still open.
    os._exit(verdict)
