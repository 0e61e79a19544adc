"""What an agent needs of the target beside it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from fulmarscale.agent.run import RunList
    from fulmarscale.agent.run import StartAnswer
    from fulmarscale.runs.model import TargetLife
    from fulmarscale.runs.model import TaskKey


class TargetUnreachableError(FulmarError):
    """The target gave no usable answer."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.TARGET_CONNECTION_LOST, detail)


class RunTarget(ABC):
    """A target that runs tasks under a lease."""

    @abstractmethod
    async def start(
        self, life: TargetLife, task: TaskKey, number: int, payload: str
    ) -> StartAnswer:
        """Start a run."""

    @abstractmethod
    async def stop(self, life: TargetLife, task: TaskKey, number: int) -> bool:
        """Stop a run, or see that it never starts.

        :returns: whether the target acknowledged it.
        """

    @abstractmethod
    async def renew(
        self,
        life: TargetLife,
        last_seen: int,
        wait_s: float,
        *,
        extend: bool,
    ) -> RunList:
        """Look at all runs, wait for ends and extend the lease.

        :param life: the life that is asked.
        :param last_seen: the newest end that was taken in.
        :param wait_s: how long the target may wait for an end.
        :param extend: whether the lease is extended.
        :raises TargetUnreachableError: if it gave no usable answer.
        """

    @abstractmethod
    async def close(self) -> None:
        """End all connections."""
