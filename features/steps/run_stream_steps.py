"""Steps that test the streams between entries and agents, on loopback."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.logs import EventLog
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.streams import AgentStream
from fulmarscale.runs.streams import AgentStreamHandler
from fulmarscale.runs.streams import EntryStreamHandler
from fulmarscale.runs.streams import MessageQueue
from fulmarscale.runs.streams import RunStreamServer
from fulmarscale.wire.messages import AgentToken
from standins.ports import PORTS

if TYPE_CHECKING:
    from behave.runner import Context

SESSION_S: Final = 0.02
"""How long the agent keeps a stream open."""


class BriefAgent(EntryStreamHandler):
    """An agent that sends a message on each stream and closes it soon."""

    def __init__(self) -> None:
        self.streams = 0

    def open_entry(
        self, outgoing: MessageQueue[AgentMessage], entry: EntryId
    ) -> int:
        self.streams += 1
        outgoing.put(AgentMessage("agent", AgentToken(1, 0.0), "here"))
        asyncio.get_running_loop().call_later(SESSION_S, outgoing.close)
        return self.streams

    def receive_entry(self, session: int, message: EntryMessage) -> None:
        pass

    def close_entry(self, session: int) -> None:
        pass


class GreetingEntry(AgentStreamHandler):
    """An entry that sends its first message on each stream."""

    def open_agent(
        self, outgoing: MessageQueue[EntryMessage], name: str
    ) -> int:
        outgoing.put(EntryMessage(EntryId("entry", 1), 1, None))
        return 1

    def receive_agent(self, session: int, message: AgentMessage) -> None:
        pass

    def close_agent(self, session: int) -> None:
        pass


@given("an agent that closes each stream soon after its first message")
def make_brief_agent(context: Context) -> None:
    context.agent = BriefAgent()
    context.log = EventLog("test", "entry")


@when("an entry keeps a stream to it for {span_s:g} s")
def keep_stream(context: Context, span_s: float) -> None:
    async def run() -> None:
        port = PORTS.pick()
        server = RunStreamServer(context.agent)
        await server.start("127.0.0.1", port)
        address = f"127.0.0.1:{port}"
        stream = AgentStream("agent", address, GreetingEntry(), context.log)
        stream.start()
        await asyncio.sleep(span_s)
        await stream.close()
        await server.close()

    asyncio.run(run())


@then("the entry has opened at least {count:d} streams")
def check_streams(context: Context, count: int) -> None:
    assert context.agent.streams >= count, context.agent.streams


@then("no unexpected error is logged")
def check_no_error(context: Context) -> None:
    assert not context.log.event_counts[Event.UNEXPECTED_ERROR]
