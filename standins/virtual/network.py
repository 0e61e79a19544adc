"""Simulated network between the nodes of a virtual site.

`Network` delays, loses and reorders single messages, and cuts links.
`StreamRegistry` carries ordered streams between agents and entries; a stream
loses no single message, but may break.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.agent.inputs import EntryClosed
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.entry.inputs import AgentAnnounced
from fulmarscale.entry.inputs import AgentClosed
from fulmarscale.entry.inputs import AgentReceived
from fulmarscale.ids import DataCentreName
from fulmarscale.wire.messages import Announce

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.virtual.nodes import AgentNode
    from standins.virtual.nodes import EntryNode
    from standins.virtual.nodes import Node
    from standins.virtual.site import VirtualSite


class Network:
    """Delivers single messages between nodes, as cuts and losses allow."""

    def __init__(self, site: VirtualSite) -> None:
        self._site = site
        self._group_of: dict[str, int] = {}
        """Partition of each isolated node; all others are in partition 0."""
        self._one_way_cuts: set[tuple[str, str]] = set()
        """Pairs of source and target whose messages are lost."""

    def heal(self) -> None:
        """Remove all partitions and cuts."""
        self._group_of.clear()
        self._one_way_cuts.clear()

    def isolate(self, name: str, group: int) -> None:
        """Move a node to a partition; only nodes of the same one reach it.

        :param name: the node.
        :param group: the partition; 0 is that of all other nodes.
        """
        self._group_of[name] = group

    def cut_one_way(self, source: str, target: str) -> None:
        """Drop all messages from one node to another, in one direction."""
        self._one_way_cuts.add((source, target))

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether messages from the source reach the target."""
        if (source, target) in self._one_way_cuts:
            return False
        return self._group_of.get(source, 0) == self._group_of.get(target, 0)

    def draw_delay_s(self) -> float:
        """Return a random delay of a message in seconds."""
        low, high = self._site.options.delay_s
        random = self._site.random
        if random.random() < self._site.options.late_share:
            return random.uniform(low, 1.0)
        return random.uniform(low, high)

    def send(
        self, source: str, target: str, deliver: Callable[[Node], None]
    ) -> None:
        """Send a message that may be lost or overtaken by a later one.

        :param source: the sending node.
        :param target: the receiving node.
        :param deliver: called with the receiving node on delivery.
        """
        if not self.is_reachable(source, target):
            return
        if self._site.random.random() < self._site.options.loss_share:
            return
        self._site.scheduler.call_later(
            self.draw_delay_s(), self._deliver, target, deliver
        )

    def _deliver(self, target: str, deliver: Callable[[Node], None]) -> None:
        node = self._site.nodes.get(target)
        if node is not None:
            deliver(node)


class AgentStream:
    """An ordered stream between an agent and an entry."""

    def __init__(self, session: int, agent: AgentNode, entry: EntryNode):
        self.session = session
        self.agent = agent
        self.entry = entry
        self.is_open = True
        self.entry_delivery_at = 0.0
        """Virtual time of the last scheduled delivery to the entry."""
        self.agent_delivery_at = 0.0
        """Virtual time of the last scheduled delivery to the agent."""


class StreamRegistry:
    """All open streams between agents and entries."""

    def __init__(self, site: VirtualSite) -> None:
        self._site = site
        self._streams: dict[int, AgentStream] = {}
        """Open streams by session number."""
        self._last_session = 0

    def of_agent(self, name: str) -> list[AgentStream]:
        """Return an agent's open streams."""
        return [s for s in self._streams.values() if s.agent.name == name]

    def set_entries(self, agent: AgentNode, names: set[str]) -> None:
        """Set the entries that an agent maintains a stream to.

        Streams to other entries break; missing ones are opened, and opened
        again when they break.

        :param agent: the agent.
        :param names: the entries' names.
        """
        for stream in self.of_agent(agent.name):
            if stream.entry.name not in names:
                self.break_stream(stream.session)
        added = names - agent.wanted_entries
        agent.wanted_entries = names
        for name in sorted(added):
            self._connect(agent, name)

    def send_to_entry(self, session: int, message: Any) -> None:
        """Send a message over a stream from its agent to its entry."""
        stream = self._get_or_break(session, to_entry=True)
        if stream is None:
            return
        at = self._site.now + self._site.network.draw_delay_s()
        stream.entry_delivery_at = max(at, stream.entry_delivery_at)
        event = AgentReceived(session, message)
        self._site.scheduler.call_at(
            stream.entry_delivery_at,
            self._deliver,
            stream,
            stream.entry,
            event,
        )

    def send_to_agent(self, session: int, message: Any) -> None:
        """Send a message over a stream from its entry to its agent."""
        stream = self._get_or_break(session, to_entry=False)
        if stream is None:
            return
        at = self._site.now + self._site.network.draw_delay_s()
        stream.agent_delivery_at = max(at, stream.agent_delivery_at)
        event = EntryReceived(session, message)
        self._site.scheduler.call_at(
            stream.agent_delivery_at,
            self._deliver,
            stream,
            stream.agent,
            event,
        )

    def break_stream(self, session: int) -> None:
        """Break a stream: messages in flight are lost.

        Each side is notified on its own after a random delay, as with a
        connection whose remote process has died.

        :param session: the stream's session number.
        """
        stream = self._streams.pop(session, None)
        if stream is None:
            return
        stream.is_open = False
        max_notice_s = self._site.options.break_notice_s
        random = self._site.random
        self._site.scheduler.call_later(
            random.uniform(0, max_notice_s),
            stream.entry.receive,
            AgentClosed(session),
        )
        self._site.scheduler.call_later(
            random.uniform(0, max_notice_s), self._close_agent_side, stream
        )

    def break_streams_of(self, node: Node) -> None:
        """Break all streams of a node whose process has ended."""
        for stream in list(self._streams.values()):
            if node in (stream.agent, stream.entry):
                self.break_stream(stream.session)

    def _close_agent_side(self, stream: AgentStream) -> None:
        stream.agent.receive(EntryClosed(stream.session))
        self._connect(stream.agent, stream.entry.name)

    def _get_or_break(
        self, session: int, *, to_entry: bool
    ) -> AgentStream | None:
        """Return the stream that carries a message; none if it breaks."""
        stream = self._streams.get(session)
        if stream is None:
            return None
        node_names = (stream.agent.name, stream.entry.name)
        source, target = node_names if to_entry else node_names[::-1]
        is_cut = not self._site.network.is_reachable(source, target)
        random = self._site.random
        if is_cut or random.random() < self._site.options.break_share:
            self.break_stream(session)
            return None
        return stream

    def _deliver(self, stream: AgentStream, node: Node, event: Any) -> None:
        if stream.is_open:
            node.receive(event)

    def _connect(self, agent: AgentNode, name: str) -> None:
        """Open a stream to an entry, or retry until it is reachable."""
        if not agent.is_alive or name not in agent.wanted_entries:
            return
        entry = self._site.nodes.get(name)
        network = self._site.network
        is_reachable_both_ways = network.is_reachable(
            agent.name, name
        ) and network.is_reachable(name, agent.name)
        is_connected = any(
            s.entry.name == name for s in self.of_agent(agent.name)
        )
        if is_connected:
            return
        if entry is None or not entry.is_alive or not is_reachable_both_ways:
            self._site.scheduler.call_later(0.3, self._connect, agent, name)
            return
        self._open_stream(agent, entry)  # type: ignore[arg-type]

    def _open_stream(self, agent: AgentNode, entry: EntryNode) -> None:
        self._last_session += 1
        stream = AgentStream(self._last_session, agent, entry)
        self._streams[self._last_session] = stream
        announce = Announce(
            agent=agent.core.agent,
            data_centre=DataCentreName(agent.data_centre),
            kinds=(),
            secret="",
        )
        agent.receive(EntryOpened(self._last_session, entry.name))
        entry.receive(AgentAnnounced(self._last_session, announce))
