"""HTTP server of the stand-ins that run as processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import uvicorn

from standins.certificates import CERTIFICATE
from standins.certificates import KEY

if TYPE_CHECKING:
    from pathlib import Path

    from litestar import Litestar


def serve(app: Litestar, port: int, tls_folder: Path | None = None) -> None:
    """Serve an application on loopback until a signal stops the process.

    :param app: the application.
    :param port: the port.
    :param tls_folder: the folder of the certificates; without it, plain
        HTTP is served.
    """
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        loop="asyncio",
        http="h11",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_graceful_shutdown=1,
        ssl_certfile=tls_folder / CERTIFICATE if tls_folder else None,
        ssl_keyfile=tls_folder / KEY if tls_folder else None,
    )
    uvicorn.Server(config).run()
