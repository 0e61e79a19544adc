"""The interface of a target's client, as the run guard's driver uses it.

`platform.runner` implements it for the users' platform. `target_client` is the
client for the project's own protocol.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from fulmarscale.agent.response_timeout import ResponseTimeout
    from fulmarscale.agent.run import RunList
    from fulmarscale.agent.run import StartResponse
    from fulmarscale.runs.model import TargetIncarnation
    from fulmarscale.runs.model import TaskKey


class TargetUnreachableError(FulmarError):
    """The target gave no usable response to a request."""

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(ResultCode.TARGET_CONNECTION_LOST, detail)
        self._is_refused = is_refused

    @property
    def is_refused(self) -> bool:
        """Whether the target's machine is up but refused the connection."""
        return self._is_refused


class RunTargetClient(ABC):
    """The client of a target that runs tasks under a lease."""

    @property
    @abstractmethod
    def timeout(self) -> ResponseTimeout:
        """The timeout of requests to the target."""

    @abstractmethod
    async def start(
        self,
        incarnation: TargetIncarnation,
        task: TaskKey,
        number: int,
        payload: str,
        leased_at: float,
    ) -> StartResponse:
        """Send a start request, which also extends the lease of all runs.

        :param incarnation: the incarnation that has to start it.
        :param task: the task.
        :param number: the run's number.
        :param payload: passed to the target without being parsed.
        :param leased_at: when the lease begins, by the agent's time.
        """

    @abstractmethod
    async def stop(
        self, incarnation: TargetIncarnation, task: TaskKey, number: int
    ) -> bool:
        """Stop a run, or prevent it from being started.

        :returns: whether the target acknowledged it.
        """

    @abstractmethod
    async def renew(
        self,
        incarnation: TargetIncarnation,
        forgettable_position: int,
        wait_s: float,
        leased_at: float | None,
    ) -> RunList:
        """List all runs, wait for completions and extend the lease.

        :param incarnation: the incarnation that has to respond.
        :param forgettable_position: the newest completion that the target may
            forget.
        :param wait_s: how long the target may wait for a completion.
        :param leased_at: when the extended lease begins, by the agent's time;
            none to leave the lease as it is.
        :raises TargetUnreachableError: if it gave no usable response.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
