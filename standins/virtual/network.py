"""Messages between nodes: delayed, lost, cut off, in order on streams."""

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
    """Which nodes reach each other, and how fast."""

    def __init__(self, site: VirtualSite) -> None:
        self._site = site
        self._groups: dict[str, int] = {}
        self._one_way: set[tuple[str, str]] = set()

    def heal(self) -> None:
        """End all cuts."""
        self._groups.clear()
        self._one_way.clear()

    def isolate(self, name: str, group: int) -> None:
        """Put a node in a group; only nodes of one group reach it."""
        self._groups[name] = group

    def cut_one_way(self, source: str, target: str) -> None:
        """Lose everything that one node sends another."""
        self._one_way.add((source, target))

    def reaches(self, source: str, target: str) -> bool:
        """Tell whether messages go through."""
        if (source, target) in self._one_way:
            return False
        return self._groups.get(source, 0) == self._groups.get(target, 0)

    def delay_s(self) -> float:
        """Draw the time that a message takes."""
        low, high = self._site.options.delay_s
        random = self._site.random
        if random.random() < self._site.options.late_share:
            return random.uniform(low, 1.0)
        return random.uniform(low, high)

    def send(
        self, source: str, target: str, deliver: Callable[[Node], None]
    ) -> None:
        """Send a message that may be lost and overtaken."""
        if not self.reaches(source, target):
            return
        if self._site.random.random() < self._site.options.loss_share:
            return
        self._site.scheduler.after(
            self.delay_s(), self._deliver, target, deliver
        )

    def _deliver(self, target: str, deliver: Callable[[Node], None]) -> None:
        node = self._site.nodes.get(target)
        if node is not None:
            deliver(node)


class Stream:
    """One ordered stream between an agent and an entry."""

    def __init__(self, session: int, agent: AgentNode, entry: EntryNode):
        self.session = session
        self.agent = agent
        self.entry = entry
        self.is_open = True
        self.up_at = 0.0
        self.down_at = 0.0


class Streams:
    """All streams between agents and entries."""

    def __init__(self, site: VirtualSite) -> None:
        self._site = site
        self._streams: dict[int, Stream] = {}
        self._number = 0

    def of_agent(self, name: str) -> list[Stream]:
        """List an agent's open streams."""
        return [s for s in self._streams.values() if s.agent.name == name]

    def follow(self, agent: AgentNode, names: set[str]) -> None:
        """Keep one stream from an agent to each entry named."""
        for stream in self.of_agent(agent.name):
            if stream.entry.name not in names:
                self.break_stream(stream.session)
        new = names - agent.wanted
        agent.wanted = names
        for name in sorted(new):
            self._connect(agent, name)

    def send_up(self, session: int, message: Any) -> None:
        """Send from an agent to an entry."""
        stream = self._usable(session, up=True)
        if stream is None:
            return
        at = self._site.now + self._site.network.delay_s()
        stream.up_at = max(at, stream.up_at)
        event = AgentReceived(session, message)
        self._site.scheduler.at(
            stream.up_at, self._deliver, stream, stream.entry, event
        )

    def send_down(self, session: int, message: Any) -> None:
        """Send from an entry to an agent."""
        stream = self._usable(session, up=False)
        if stream is None:
            return
        at = self._site.now + self._site.network.delay_s()
        stream.down_at = max(at, stream.down_at)
        event = EntryReceived(session, message)
        self._site.scheduler.at(
            stream.down_at, self._deliver, stream, stream.agent, event
        )

    def break_stream(self, session: int) -> None:
        """Lose what is under way; each side notices later."""
        stream = self._streams.pop(session, None)
        if stream is None:
            return
        stream.is_open = False
        wait = self._site.options.break_notice_s
        random = self._site.random
        self._site.scheduler.after(
            random.uniform(0, wait),
            stream.entry.receive,
            AgentClosed(session),
        )
        self._site.scheduler.after(
            random.uniform(0, wait), self._close_agent_side, stream
        )

    def break_all_of(self, node: Node) -> None:
        """Break the streams of a node that ended."""
        for stream in list(self._streams.values()):
            if node in (stream.agent, stream.entry):
                self.break_stream(stream.session)

    def _close_agent_side(self, stream: Stream) -> None:
        stream.agent.receive(EntryClosed(stream.session))
        self._connect(stream.agent, stream.entry.name)

    def _usable(self, session: int, *, up: bool) -> Stream | None:
        stream = self._streams.get(session)
        if stream is None:
            return None
        ends = (stream.agent.name, stream.entry.name)
        source, target = ends if up else ends[::-1]
        broken = not self._site.network.reaches(source, target)
        random = self._site.random
        if broken or random.random() < self._site.options.break_share:
            self.break_stream(session)
            return None
        return stream

    def _deliver(self, stream: Stream, node: Node, event: Any) -> None:
        if stream.is_open:
            node.receive(event)

    def _connect(self, agent: AgentNode, name: str) -> None:
        if not agent.is_alive or name not in agent.wanted:
            return
        entry = self._site.nodes.get(name)
        network = self._site.network
        reached = network.reaches(agent.name, name) and network.reaches(
            name, agent.name
        )
        taken = any(s.entry.name == name for s in self.of_agent(agent.name))
        if taken:
            return
        if entry is None or not entry.is_alive or not reached:
            self._site.scheduler.after(0.3, self._connect, agent, name)
            return
        self._open(agent, entry)  # type: ignore[arg-type]

    def _open(self, agent: AgentNode, entry: EntryNode) -> None:
        self._number += 1
        stream = Stream(self._number, agent, entry)
        self._streams[self._number] = stream
        announce = Announce(
            agent=agent.core.agent,
            data_centre=DataCentreName(agent.data_centre),
            kinds=(),
            secret="",
        )
        agent.receive(EntryOpened(self._number, entry.name))
        entry.receive(AgentAnnounced(self._number, announce))
