"""Steps about the stand-ins themselves."""

from __future__ import annotations

from pathlib import Path
import socket
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from standins.ports import PortPicker

if TYPE_CHECKING:
    from behave.runner import Context

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LINUX_FIRST_EPHEMERAL = 32768


@given("the next port to be picked is in use")
def take_next_port(context: Context) -> None:
    context.taken = socket.socket()
    context.add_cleanup(context.taken.close)
    port = PortPicker().pick()
    context.taken.bind(("127.0.0.1", port))
    context.taken_port = port


@when("{count:d} ports are picked for stand-ins")
def pick_ports(context: Context, count: int) -> None:
    picker = PortPicker()
    context.ports = [picker.pick() for _ in range(count)]


@then("all of them differ")
def check_distinct(context: Context) -> None:
    assert len(set(context.ports)) == len(context.ports)


@then("all of them are below the kernel's ephemeral port range")
def check_not_ephemeral(context: Context) -> None:
    first = LINUX_FIRST_EPHEMERAL
    if EPHEMERAL_RANGE.exists():
        first = int(EPHEMERAL_RANGE.read_text().split()[0])
    assert max(context.ports) < first, max(context.ports)


@then("it is not the port in use")
def check_not_taken(context: Context) -> None:
    assert context.ports != [context.taken_port], context.ports
