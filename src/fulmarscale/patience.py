"""Waits with a timeout that does not expire because this process stalls.

A process without processor time handles the expiry of a timeout before it has
handled what arrived in time, so that it gives up on peers that respond. It
then needs several turns of the event loop to see the response.
"""

from __future__ import annotations

import asyncio
from typing import Any
from typing import Final
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")

STALL_S: Final = 0.05
"""Lateness of a timeout from which this process counts as stalled."""

EXTRA_TURNS: Final = 6
"""Turns of the event loop that a wait may go on after a stall.

Opening a connection takes about four, a request and its response two.
"""


async def wait_until_done(
    future: asyncio.Future[Any], timeout_s: float
) -> bool:
    """Wait for a future, which is not cancelled.

    :param future: the future.
    :param timeout_s: the timeout in seconds; 0 or less for a single turn of
        the event loop.
    :returns: whether it is done.
    """
    loop = asyncio.get_running_loop()
    timeout_s = max(0.0, timeout_s)
    ends_at = loop.time() + timeout_s
    await asyncio.wait((future,), timeout=timeout_s)
    if future.done() or loop.time() - ends_at < STALL_S:
        return future.done()
    for _ in range(EXTRA_TURNS):
        await asyncio.sleep(0)
        if future.done():
            return True
    return False


async def run_with_timeout(
    work: Coroutine[Any, Any, Result], timeout_s: float
) -> Result:
    """Run a coroutine, and cancel it when its timeout expires.

    :param work: the coroutine.
    :param timeout_s: the timeout in seconds.
    :returns: its result.
    :raises TimeoutError: if it has not ended by then.
    """
    task = asyncio.ensure_future(work)
    try:
        if not await wait_until_done(task, timeout_s):
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
