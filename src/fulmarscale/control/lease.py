"""The lease under which an entry acts, and its place on the entry list.

An entry may act only on state confirmed within the last `freshness_s`:
confirmed by the table, or, while the table is out, by every other entry.
A change of the list or the configuration is therefore in force in every
entry, or the entry has stopped acting, within that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.actions import Log
from fulmarscale.control.actions import ReadTable
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.actions import WriteEntryList
from fulmarscale.control.configuration import Configuration
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import sort_members
from fulmarscale.control.entry_list import ViewHistory
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.wire.messages import JoinAck
from fulmarscale.wire.messages import JoinRequest
from fulmarscale.wire.messages import LeaseAsk
from fulmarscale.wire.messages import LeasePromise

if TYPE_CHECKING:
    from random import Random

    from fulmarscale.control.actions import Action
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.timings import Timings
    from fulmarscale.platform.table import TableReading

NEVER = float("-inf")
"""A monotonic time before all others."""

INCARNATION_BITS = 48
"""The length of an incarnation number."""


class LeaseKeeper:
    """Decides whether this entry may act, and keeps it on the list."""

    def __init__(
        self, member: Member, timings: Timings, random: Random
    ) -> None:
        self._member = member
        self._timings = timings
        self._random = random
        self._history = ViewHistory(
            timings.retention_s + timings.age_allowance_s
        )
        self._configuration = Configuration(version=0)
        self._confirmed_at = NEVER
        self._table_confirmed_at = NEVER
        self._read_started_at = NEVER
        self._asked_at = NEVER
        self._was_member = False
        self._leaving = False
        self._pending_changes = 0
        self._wall_offset_s: float | None = None
        self._heard_at: dict[EntryId, float] = {}
        self._promised_at: dict[EntryId, float] = {}
        self._removing: set[EntryId] = set()
        self._joiners: dict[str, Member] = {}
        self._join_acks: set[EntryId] = set()

    @property
    def member(self) -> Member:
        """This entry as it stands on the list."""
        return self._member

    @property
    def entry(self) -> EntryId:
        """This entry's present incarnation."""
        return self._member.entry

    @property
    def entry_list(self) -> EntryList:
        """The newest adopted version of the list."""
        return self._history.current

    @property
    def history(self) -> ViewHistory:
        """The adopted versions of the list."""
        return self._history

    @property
    def configuration(self) -> Configuration:
        """The newest adopted configuration."""
        return self._configuration

    @property
    def confirmed_at(self) -> float:
        """When the newest confirmation began."""
        return self._confirmed_at

    @property
    def is_member(self) -> bool:
        """Whether the newest adopted list has this incarnation."""
        return self.entry_list.find(self.entry) is not None

    def is_held(self, now: float) -> bool:
        """Tell whether this entry may act."""
        if not self.is_member or self._wall_offset_s is None:
            return False
        return now - self._confirmed_at <= self._timings.freshness_s

    def is_table_fresh(self, now: float) -> bool:
        """Tell whether the table itself confirmed the lease lately."""
        age_s = now - self._table_confirmed_at
        return age_s <= self._timings.freshness_s

    def wall_time_s(self, now: float) -> float | None:
        """Give the platform's time; none before the first reading."""
        if self._wall_offset_s is None:
            return None
        return now + self._wall_offset_s

    def tick(self, now: float) -> list[Action]:
        """Confirm the lease and remove dead peers, when due."""
        actions: list[Action] = []
        if now - self._read_started_at >= self._timings.round_s:
            actions += self._read_table(now)
        ask_due_s = self._timings.liveness_s
        if now - self._table_confirmed_at > 1.5 * self._timings.round_s:
            ask_due_s = self._timings.round_s
        if now - self._asked_at >= ask_due_s:
            actions += self._ask_peers(now)
        return actions + self._remove_dead(now)

    def confirm_soon(self, now: float) -> list[Action]:
        """Begin a confirmation now, for a pair that needs a newer echo."""
        actions = self._read_table(now)
        if now - self._table_confirmed_at > 1.5 * self._timings.round_s:
            actions += self._ask_peers(now)
        return actions

    def begin_change(self) -> None:
        """Stop promising: a change of the configuration is under way."""
        self._pending_changes += 1

    def end_change(self) -> None:
        """Promise again: the change's result is known and adopted."""
        self._pending_changes -= 1

    def begin_leave(self) -> None:
        """Never join again."""
        self._leaving = True

    def leave(self) -> list[Action]:
        """Take this entry off the list."""
        current = self.entry_list
        if current.find(self.entry) is None:
            return []
        members = current.without(self.entry)
        return [WriteEntryList(current.version, members)]

    def receive_reading(
        self, reading: TableReading, now: float
    ) -> list[Action]:
        """Take in what the table holds.

        :param reading: the list and configuration as read.
        :param now: monotonic time of the answer.
        """
        if reading.entry_list.version < self.entry_list.version:
            return []
        actions = self.adopt_list(reading.entry_list, now)
        if reading.configuration is not None:
            actions += self.adopt_configuration(reading.configuration)
        if reading.configuration_version != self._configuration.version:
            return actions
        self._take_wall_time(reading, now)
        if reading.started_at is None:
            return actions
        if not self.is_member:
            return actions + self._join(now)
        started_at = reading.started_at
        self._table_confirmed_at = max(self._table_confirmed_at, started_at)
        self._confirm(started_at)
        return actions

    def receive_ask(self, asker: Member, ask: LeaseAsk, now: float) -> Action:
        """Answer a peer that wants its lease confirmed."""
        self._heard_at[asker.entry] = now
        current = self.entry_list
        granted = (
            current.find(asker.entry) is not None
            and asker.entry not in self._removing
            and self._pending_changes == 0
            and ask.list_version <= current.version
            and ask.configuration_version <= self._configuration.version
        )
        newer_list = current if current.version > ask.list_version else None
        newer = self._configuration
        is_newer = newer.version > ask.configuration_version
        promise = LeasePromise(
            of=self.entry,
            asked_at=ask.asked_at,
            granted=granted,
            list_version=current.version,
            entry_list=newer_list,
            configuration=newer if is_newer else None,
        )
        return SendPeer(asker, promise)

    def receive_promise(
        self, promise: LeasePromise, now: float
    ) -> list[Action]:
        """Count a peer's promise."""
        actions: list[Action] = []
        self._heard_at[promise.of] = now
        if promise.entry_list is not None:
            actions += self.adopt_list(promise.entry_list, now)
        if promise.configuration is not None:
            actions += self.adopt_configuration(promise.configuration)
        if not promise.granted:
            return actions
        if promise.list_version < self.entry_list.version:
            return actions
        known_at = self._promised_at.get(promise.of, NEVER)
        self._promised_at[promise.of] = max(known_at, promise.asked_at)
        self._count_promises()
        return actions

    def receive_join_request(
        self, request: JoinRequest, now: float
    ) -> list[Action]:
        """Acknowledge a newcomer, for oneself or a former incarnation."""
        if request.to.name != self.entry.name:
            return []
        joiner = request.joiner
        if request.to == self.entry:
            self._joiners[joiner.entry.name] = joiner
        return [SendPeer(joiner, JoinAck(request.to, joiner.entry))]

    def receive_join_ack(self, ack: JoinAck) -> None:
        """Count an acknowledgement of this entry's joining."""
        if ack.joiner == self.entry:
            self._join_acks.add(ack.of)

    def forget(self, name: str) -> None:
        """Join without the word of an entry that is gone for good.

        :param name: the entry's name, by an operator's word.
        """
        for member in self.entry_list.members:
            if member.entry.name == name:
                self._join_acks.add(member.entry)

    def adopt_list(self, entry_list: EntryList, now: float) -> list[Action]:
        """Take over a newer list; an older one changes nothing."""
        if not self._history.adopt(entry_list, now):
            return []
        self._promised_at.clear()
        entries = {member.entry for member in entry_list.members}
        self._removing &= entries
        for member in entry_list.members:
            if self._joiners.get(member.entry.name) == member:
                del self._joiners[member.entry.name]
        actions: list[Action] = [
            Log(
                Event.ENTRY_LIST_ADOPTED,
                {"version": entry_list.version, "entries": len(entries)},
            )
        ]
        if self.entry in entries:
            self._was_member = True
        elif self._was_member and not self._leaving:
            actions += self._replace_incarnation()
        return actions

    def adopt_configuration(
        self, configuration: Configuration
    ) -> list[Action]:
        """Take over a newer configuration; it never reverts."""
        if configuration.version <= self._configuration.version:
            return []
        self._configuration = configuration
        fields = {"version": configuration.version}
        return [Log(Event.CONFIGURATION_ADOPTED, fields)]

    def _read_table(self, now: float) -> list[Action]:
        self._read_started_at = now
        return [ReadTable(now, self._configuration.version)]

    def _ask_peers(self, now: float) -> list[Action]:
        if not self.is_member:
            return []
        self._asked_at = now
        ask = LeaseAsk(
            asked_at=now,
            list_version=self.entry_list.version,
            configuration_version=self._configuration.version,
        )
        return [SendPeer(peer, ask) for peer in self._needed()]

    def _needed(self) -> list[Member]:
        """List whose promises are needed: members and their joiners."""
        needed = {m.entry: m for m in self.entry_list.without(self.entry)}
        for joiner in self._joiners.values():
            needed[joiner.entry] = joiner
        return [needed[entry] for entry in sorted(needed)]

    def _count_promises(self) -> None:
        needed = self._needed()
        if not self.is_member or not needed or self._pending_changes:
            # Peers don't know yet of a change that this entry carries.
            return
        # The oldest of all promises, not a majority: a change is accepted
        # with the knowledge of a single entry.
        oldest_at = min(
            self._promised_at.get(peer.entry, NEVER) for peer in needed
        )
        self._confirm(oldest_at)

    def _confirm(self, started_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, started_at)

    def _take_wall_time(self, reading: TableReading, now: float) -> None:
        if reading.started_at is None:
            return
        error_s = (now - reading.started_at) / 2
        if error_s > self._timings.wall_error_s:
            return
        middle = now - error_s
        self._wall_offset_s = reading.wall_time_s - middle

    def _remove_dead(self, now: float) -> list[Action]:
        if not self.is_member or not self.is_table_fresh(now):
            return []
        for peer in self.entry_list.without(self.entry):
            heard_at = self._heard_at.get(peer.entry, NEVER)
            heard_at = max(heard_at, self._history.adopted_at)
            if now - heard_at > self._timings.dead_after_s:
                return self._remove(peer)
        return []

    def _remove(self, peer: Member) -> list[Action]:
        # No promise to it from here on, so that it can't outlive the wait.
        newly = peer.entry not in self._removing
        self._removing.add(peer.entry)
        current = self.entry_list
        actions: list[Action] = [
            WriteEntryList(current.version, current.without(peer.entry))
        ]
        if newly:
            fields = {"entry": peer.entry.name}
            actions.append(Log(Event.ENTRY_REMOVAL_STARTED, fields))
        return actions

    def _replace_incarnation(self) -> list[Action]:
        number = self._random.getrandbits(INCARNATION_BITS)
        entry = EntryId(self._member.entry.name, number)
        self._member = type(self._member)(
            entry=entry,
            address=self._member.address,
            url=self._member.url,
            data_centre=self._member.data_centre,
        )
        self._was_member = False
        self._confirmed_at = NEVER
        self._table_confirmed_at = NEVER
        self._join_acks.clear()
        newest = self._history.current
        adopted_at = self._history.adopted_at
        self._history.clear()
        self._history.adopt(newest, adopted_at)
        return [Log(Event.INCARNATION_REPLACED, {"entry": entry.name})]

    def _join(self, now: float) -> list[Action]:
        if self._leaving:
            return []
        current = self.entry_list
        actions: list[Action] = []
        for member in current.members:
            if member.entry.name == self.entry.name:
                # This process proves that its former incarnation is gone.
                self._join_acks.add(member.entry)
                continue
            request = JoinRequest(member.entry, self._member)
            actions.append(SendPeer(member, request))
        if all(m.entry in self._join_acks for m in current.members):
            others = [
                member
                for member in current.members
                if member.entry.name != self.entry.name
            ]
            members = sort_members([*others, self._member])
            actions.append(WriteEntryList(current.version, members))
        return actions
