"""Steps that test the stand-ins themselves."""

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
def occupy_next_port(context: Context) -> None:
    context.occupying_socket = socket.socket()
    context.add_cleanup(context.occupying_socket.close)
    port = PortPicker().pick()
    context.occupying_socket.bind(("127.0.0.1", port))
    context.occupied_port = port


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
def check_not_occupied(context: Context) -> None:
    assert context.ports != [context.occupied_port], context.ports
