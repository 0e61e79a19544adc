"""The state that an entry keeps of each agent connected to it.

It serves the project's own HTTP interface (`/v1/jobs`); the view of agents
for the users' platform is in `entry.jobs.agent_view`.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.wire.messages import AgentState
from fulmarscale.wire.messages import AgentToken

if TYPE_CHECKING:
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import DataCentreName
    from fulmarscale.ids import TaskRef
    from fulmarscale.wire.messages import Announce
    from fulmarscale.wire.messages import FromAgent

MAX_STORED_TOKENS = 96
"""Tokens stored for each agent until a lease confirmation covers them."""

MIN_TOKEN_INTERVAL_S = 0.02
"""The least time between stored tokens; others are discarded."""

FAILURES_TO_QUARANTINE = 3
"""Failures in a row after which an agent is sent only single probes."""

FIRST_QUARANTINE_S = 0.5
"""Time until the first probe of an agent that was quarantined."""

MAX_QUARANTINE_S = 30.0
"""The longest time between probes."""


class ReceivedToken(NamedTuple):
    """A token of an agent and the time of its receipt."""

    received_at: float
    """Monotonic time of the receipt."""
    token: AgentToken
    """The token."""


class ConnectedAgent:
    """The state of one connected agent, as known to this entry.

    :param session: the number of the stream.
    :param announce: the agent's first message on the stream.
    :param now: monotonic time at which the stream was opened.
    """

    def __init__(self, session: int, announce: Announce, now: float) -> None:
        self._agent = announce.agent
        self._session = session
        self._data_centre = announce.data_centre
        self._kinds = frozenset(announce.kinds)
        self.connected_at = now
        self.state = AgentState.SERVING
        self.slots = 0
        self.other_entries_load = 0
        """Tasks of other entries that run or wait at the agent."""
        self.outstanding: set[TaskRef] = set()
        """Tasks sent to the agent that it has not reported on."""
        self.last_received_at = now
        self.last_sent_at = now
        self.sent_list_version = -1
        """The newest version of the entry list sent to the agent."""
        self.sent_configuration_version = -1
        """The version of the closed data centres sent to the agent."""
        self.sent_echo: AgentToken | None = None
        """The echo in the last message to the agent."""
        self._tokens: deque[ReceivedToken] = deque()
        self._failures = 0
        """Failed tasks and failed attempts to reach the target, in a row."""
        self._quarantine_s = 0.0
        """Time from the last failure to the next probe."""
        self._probe_at = 0.0
        """Monotonic time from which a quarantined agent may be probed."""

    @property
    def agent(self) -> AgentId:
        """The agent."""
        return self._agent

    @property
    def session(self) -> int:
        """The number of the stream on which the agent is connected."""
        return self._session

    @property
    def data_centre(self) -> DataCentreName:
        """The data centre of the agent."""
        return self._data_centre

    @property
    def load(self) -> int:
        """The number of tasks known to run or wait at the agent."""
        return self.other_entries_load + len(self.outstanding)

    @property
    def is_quarantined(self) -> bool:
        """Whether only probes are sent, after several failures in a row."""
        return self._failures >= FAILURES_TO_QUARANTINE

    def serves(self, kind: str) -> bool:
        """Return whether the agent's target runs tasks of a kind."""
        return not self._kinds or kind in self._kinds

    def free_capacity(self, now: float, ahead: int) -> int:
        """Return the number of tasks that may be sent to the agent now.

        :param now: monotonic time.
        :param ahead: tasks that may wait there beyond the free slots. While
            fewer of this entry's tasks are outstanding there, it may always
            send up to that number: an agent that other entries keep busy
            sends too few messages for its free slots to be seen.
        """
        if self.state is not AgentState.SERVING or self.slots == 0:
            return 0
        if self.is_quarantined:
            may_probe = now >= self._probe_at and not self.outstanding
            return 1 if may_probe else 0
        free = self.slots + ahead - self.load
        return max(0, free, ahead - len(self.outstanding))

    def receive(self, message: FromAgent, now: float) -> None:
        """Update the state, load and tokens from a message of the agent."""
        self.last_received_at = now
        self.state = message.state
        self.slots = message.load.slots
        self.other_entries_load = max(
            0, message.load.busy - message.load.receiver_tasks
        )
        self._store_token(ReceivedToken(now, message.token))

    def best_echo(self, confirmed_at: float) -> AgentToken | None:
        """Return the newest token received before a lease confirmation began.

        :param confirmed_at: when the last confirmation of the lease began.
        """
        while len(self._tokens) > 1 and (
            self._tokens[1].received_at <= confirmed_at
        ):
            self._tokens.popleft()
        if not self._tokens:
            return None
        oldest = self._tokens[0]
        return oldest.token if oldest.received_at <= confirmed_at else None

    def _store_token(self, received: ReceivedToken) -> None:
        if self._tokens:
            newest_at = self._tokens[-1].received_at
            if received.received_at - newest_at < MIN_TOKEN_INTERVAL_S:
                return
        self._tokens.append(received)
        if len(self._tokens) > MAX_STORED_TOKENS:
            self._tokens.popleft()

    def record_success(self) -> None:
        """Record that the target completed a task; this ends a quarantine."""
        self._failures = 0
        self._quarantine_s = 0.0

    def record_failure(self, now: float) -> bool:
        """Record that the target failed a task or could not be reached.

        From the limit on, each failure doubles the time to the next probe.

        :returns: whether the agent was quarantined by this failure.
        """
        self._failures += 1
        if not self.is_quarantined:
            return False
        self._quarantine_s = min(
            MAX_QUARANTINE_S,
            max(FIRST_QUARANTINE_S, 2 * self._quarantine_s),
        )
        self._probe_at = now + self._quarantine_s
        return self._failures == FAILURES_TO_QUARANTINE
