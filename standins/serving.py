"""Serves a stand-in's application over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from litestar import Litestar


def serve(app: Litestar, port: int) -> None:
    """Serve on loopback until a signal comes."""
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
    )
    uvicorn.Server(config).run()
