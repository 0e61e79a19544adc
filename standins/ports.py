"""Ports for the processes of stand-in sites.

A port that was probed is free until its process listens on it, so it must be
none that the system gives to other sockets meanwhile. Systems give outgoing
connections and listeners on port 0 a port of the ephemeral range, which
begins at 32768 (Linux, `ip_local_port_range`) or higher (RFC 6335: 49152).
"""

from __future__ import annotations

import os
import socket
from typing import Final

FIRST_PORT: Final = 20_000
LAST_PORT: Final = 32_000
"""Below all ephemeral ranges, above the ports of well-known services."""

STRIDE: Final = 101
"""Distance of the first ports of processes with neighbouring ids."""


class PortPicker:
    """Picks ports, none of them twice."""

    def __init__(self) -> None:
        self._next: int | None = None

    def pick(self) -> int:
        """Pick a port that nothing listens on.

        :raises OSError: if there is none.
        """
        count = LAST_PORT - FIRST_PORT
        if self._next is None:
            self._next = os.getpid() * STRIDE % count
        for _ in range(count):
            port = FIRST_PORT + self._next
            self._next = (self._next + 1) % count
            if _is_free(port):
                return port
        raise OSError("no free port")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


PORTS: Final = PortPicker()
"""The ports of this process."""
