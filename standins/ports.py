"""Allocation of ports for the processes of stand-in sites.

A port must stay free from the moment it is picked until its process listens
on it, so it must not be one that the system may give to another socket in
between. Systems assign ports of the ephemeral range to outgoing connections
and to listeners on port 0. That range begins at 32768 (Linux,
`ip_local_port_range`) or higher (RFC 6335: 49152).
"""

from __future__ import annotations

import os
import socket
from typing import Final

FIRST_PORT: Final = 20_000
LAST_PORT: Final = 32_000
"""End of the range of ports to pick from, this one excluded.

The range is below all ephemeral ranges and above the ports of well-known
services.
"""

STRIDE: Final = 101
"""Distance between the first ports of processes with successive ids.

With it, processes that pick ports at the same time seldom probe the same ones.
"""


class PortPicker:
    """Picks free ports in turn, each again only after all others.

    The first one depends on the process id.
    """

    def __init__(self) -> None:
        self._next_offset: int | None = None

    def pick(self) -> int:
        """Return the next port that nothing listens on.

        :raises OSError: if no port of the range is free.
        """
        count = LAST_PORT - FIRST_PORT
        if self._next_offset is None:
            self._next_offset = os.getpid() * STRIDE % count
        for _ in range(count):
            port = FIRST_PORT + self._next_offset
            self._next_offset = (self._next_offset + 1) % count
            if _is_free(port):
                return port
        raise OSError("no free port in the range for stand-ins")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


PORTS: Final = PortPicker()
"""The picker of this process."""
