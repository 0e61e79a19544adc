"""The lease under which an entry acts, and its membership in the entry list.

An entry may act only on state that was confirmed within the last
`freshness_s`: by the platform's table, or by every other entry, also while
the table is available. An entry confirms a peer's lease by a promise: that it
has accepted no change that the peer has not adopted. Within `freshness_s`
after a change of the entry list or the configuration, each entry has
therefore adopted the change or stopped acting.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.actions import Log
from fulmarscale.control.actions import ReadTable
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.actions import WriteEntryList
from fulmarscale.control.configuration import Configuration
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import EntryListHistory
from fulmarscale.control.entry_list import sort_members
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.wire.messages import JoinAck
from fulmarscale.wire.messages import JoinRequest
from fulmarscale.wire.messages import LeasePromise
from fulmarscale.wire.messages import LeasePromiseRequest

if TYPE_CHECKING:
    from random import Random

    from fulmarscale.control.actions import Action
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.timings import Timings
    from fulmarscale.platform.table import TableSnapshot

NEVER = float("-inf")
"""A monotonic time earlier than all others: the event has not happened."""

INCARNATION_BITS = 48
"""The length of an incarnation number in bits."""


class LeaseManager:
    """Manages this entry's lease and its membership in the entry list.

    Methods that return actions leave it to their caller to perform them.
    """

    def __init__(
        self, member: Member, timings: Timings, random: Random
    ) -> None:
        self._member = member
        self._timings = timings
        self._random = random
        self._history = EntryListHistory(
            timings.retention_s + timings.age_allowance_s
        )
        self._configuration = Configuration(version=0)
        self._confirmed_at = NEVER
        """When the newest confirmation, by table or peers, was started."""
        self._table_confirmed_at = NEVER
        """When the newest confirmation by the table was started."""
        self._read_started_at = NEVER
        self._promises_requested_at = NEVER
        self._was_member = False
        """Whether this incarnation has been on an adopted list."""
        self._is_shutting_down = False
        self._pending_changes = 0
        """Changes of the configuration that this entry is writing."""
        self._wall_offset_s: float | None = None
        """The platform's time minus the monotonic time, if known."""
        self._last_message_at: dict[EntryId, float] = {}
        """When each peer's last promise or promise request was received."""
        self._promised_at: dict[EntryId, float] = {}
        """When this entry requested each peer's newest promise."""
        self._removing: set[EntryId] = set()
        """Peers that are being removed and get no more promises."""
        self._joiners: dict[str, Member] = {}
        """Entries by name whose join this entry has acknowledged."""
        self._join_acks: set[EntryId] = set()
        """Members that have acknowledged this entry's join."""

    @property
    def member(self) -> Member:
        """This entry's item on the list, with its present incarnation."""
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
    def history(self) -> EntryListHistory:
        """The adopted versions of the list."""
        return self._history

    @property
    def configuration(self) -> Configuration:
        """The newest adopted configuration."""
        return self._configuration

    @property
    def confirmed_at(self) -> float:
        """When the newest confirmation was started."""
        return self._confirmed_at

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is on the newest adopted list."""
        return self.entry_list.find(self.entry) is not None

    def is_held(self, now: float) -> bool:
        """Return whether this entry holds its lease, so that it may act."""
        if not self.is_member or self._wall_offset_s is None:
            return False
        return now - self._confirmed_at <= self._timings.freshness_s

    def is_table_fresh(self, now: float) -> bool:
        """Return whether the table confirmed the lease.

        Confirmations older than `freshness_s` don't count.
        """
        age_s = now - self._table_confirmed_at
        return age_s <= self._timings.freshness_s

    def wall_time_s(self, now: float) -> float | None:
        """Return the platform's Unix time, if known.

        It is none before a snapshot that was answered in time and has a
        matching configuration version.
        """
        if self._wall_offset_s is None:
            return None
        return now + self._wall_offset_s

    def tick(self, now: float) -> list[Action]:
        """Return the confirmations and removals of peers that are due."""
        actions: list[Action] = []
        if now - self._read_started_at >= self._timings.round_s:
            actions += self._read_table(now)
        request_interval_s = self._timings.liveness_s
        if now - self._table_confirmed_at > 1.5 * self._timings.round_s:
            request_interval_s = self._timings.round_s
        if now - self._promises_requested_at >= request_interval_s:
            actions += self._request_promises(now)
        return actions + self._remove_dead_peers(now)

    def start_confirmation(self, now: float) -> list[Action]:
        """Start a confirmation now.

        A token of an agent is echoed only if the lease's confirmation began
        at or after its receipt, so an agent that waits for a newer echo needs
        this.
        """
        actions = self._read_table(now)
        if now - self._table_confirmed_at > 1.5 * self._timings.round_s:
            actions += self._request_promises(now)
        return actions

    def suspend_promises(self) -> None:
        """Suspend promises, as this entry writes a configuration change."""
        self._pending_changes += 1

    def resume_promises(self) -> None:
        """Resume promises, as the change's result is known and adopted."""
        self._pending_changes -= 1

    def begin_shutdown(self) -> None:
        """Prevent joining the list again, as a graceful shutdown starts."""
        self._is_shutting_down = True

    def leave_list(self) -> list[Action]:
        """Return the write that removes this entry from the list."""
        current = self.entry_list
        if current.find(self.entry) is None:
            return []
        members = current.without(self.entry)
        return [WriteEntryList(current.version, members)]

    def receive_snapshot(
        self, snapshot: TableSnapshot, now: float
    ) -> list[Action]:
        """Update the list, the configuration and the lease from the table.

        :param snapshot: the list and configuration as read.
        :param now: monotonic time of the response.
        """
        if snapshot.entry_list.version < self.entry_list.version:
            return []
        actions = self.adopt_list(snapshot.entry_list, now)
        if snapshot.configuration is not None:
            actions += self.adopt_configuration(snapshot.configuration)
        if snapshot.configuration_version != self._configuration.version:
            return actions
        self._update_wall_offset(snapshot, now)
        if snapshot.started_at is None:
            return actions
        if not self.is_member:
            return actions + self._try_to_join(now)
        started_at = snapshot.started_at
        self._table_confirmed_at = max(self._table_confirmed_at, started_at)
        self._confirm(started_at)
        return actions

    def receive_promise_request(
        self, peer: Member, request: LeasePromiseRequest, now: float
    ) -> Action:
        """Return the response to a peer that requests a lease promise.

        The promise is granted if this entry has accepted no change that the
        peer has not adopted.

        :param peer: the entry that sent the request.
        :param request: its request.
        :param now: monotonic time.
        """
        self._last_message_at[peer.entry] = now
        current = self.entry_list
        granted = (
            current.find(peer.entry) is not None
            and peer.entry not in self._removing
            and self._pending_changes == 0
            and request.list_version <= current.version
            and request.configuration_version <= self._configuration.version
        )
        newer_list = (
            current if current.version > request.list_version else None
        )
        latest = self._configuration
        has_newer_configuration = (
            latest.version > request.configuration_version
        )
        promise = LeasePromise(
            peer=self.entry,
            asked_at=request.asked_at,
            granted=granted,
            list_version=current.version,
            entry_list=newer_list,
            configuration=latest if has_newer_configuration else None,
        )
        return SendPeer(peer, promise)

    def receive_promise(
        self, promise: LeasePromise, now: float
    ) -> list[Action]:
        """Process a peer's promise, which may confirm the lease."""
        actions: list[Action] = []
        self._last_message_at[promise.peer] = now
        if promise.entry_list is not None:
            actions += self.adopt_list(promise.entry_list, now)
        if promise.configuration is not None:
            actions += self.adopt_configuration(promise.configuration)
        if not promise.granted:
            return actions
        if promise.list_version < self.entry_list.version:
            return actions
        previous_at = self._promised_at.get(promise.peer, NEVER)
        self._promised_at[promise.peer] = max(previous_at, promise.asked_at)
        self._count_promises()
        return actions

    def receive_join_request(
        self, request: JoinRequest, now: float
    ) -> list[Action]:
        """Acknowledge a joining entry.

        The request may be addressed to a former incarnation of this entry,
        which is known to have stopped.
        """
        if request.member.name != self.entry.name:
            return []
        joiner = request.joiner
        if request.member == self.entry:
            self._joiners[joiner.entry.name] = joiner
        return [SendPeer(joiner, JoinAck(request.member, joiner.entry))]

    def receive_join_ack(self, ack: JoinAck) -> None:
        """Record a member's acknowledgement of this entry's join."""
        if ack.joiner == self.entry:
            self._join_acks.add(ack.member)

    def skip_join_ack(self, name: str) -> None:
        """Join without the acknowledgement of a permanently stopped entry.

        :param name: the name of the entry that an operator declared gone.
        """
        for member in self.entry_list.members:
            if member.entry.name == name:
                self._join_acks.add(member.entry)

    def adopt_list(self, entry_list: EntryList, now: float) -> list[Action]:
        """Adopt a newer list; ignore an older one."""
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
        elif self._was_member and not self._is_shutting_down:
            actions += self._replace_incarnation()
        return actions

    def adopt_configuration(
        self, configuration: Configuration
    ) -> list[Action]:
        """Adopt a newer configuration; ignore an older one."""
        if configuration.version <= self._configuration.version:
            return []
        self._configuration = configuration
        fields = {"version": configuration.version}
        return [Log(Event.CONFIGURATION_ADOPTED, fields)]

    def _read_table(self, now: float) -> list[Action]:
        self._read_started_at = now
        return [ReadTable(now, self._configuration.version)]

    def _request_promises(self, now: float) -> list[Action]:
        if not self.is_member:
            return []
        self._promises_requested_at = now
        request = LeasePromiseRequest(
            asked_at=now,
            list_version=self.entry_list.version,
            configuration_version=self._configuration.version,
        )
        return [SendPeer(peer, request) for peer in self._required_peers()]

    def _required_peers(self) -> list[Member]:
        """Return the entries whose promises are required for the lease.

        They are all other members, and entries whose join was acknowledged.
        """
        required = {m.entry: m for m in self.entry_list.without(self.entry)}
        for joiner in self._joiners.values():
            required[joiner.entry] = joiner
        return [required[entry] for entry in sorted(required)]

    def _count_promises(self) -> None:
        required = self._required_peers()
        if not self.is_member or not required or self._pending_changes:
            # Peers have not adopted a pending change yet, so their promises
            # confirm only the state before it.
            return
        # The oldest of all promises counts, not that of a majority: a change
        # can be accepted while only a single entry knows of it.
        oldest_at = min(
            self._promised_at.get(peer.entry, NEVER) for peer in required
        )
        self._confirm(oldest_at)

    def _confirm(self, started_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, started_at)

    def _update_wall_offset(self, snapshot: TableSnapshot, now: float) -> None:
        if snapshot.started_at is None:
            return
        error_s = (now - snapshot.started_at) / 2
        if error_s > self._timings.wall_error_s:
            return
        midpoint = now - error_s
        self._wall_offset_s = snapshot.wall_time_s - midpoint

    def _remove_dead_peers(self, now: float) -> list[Action]:
        if not self.is_member or not self.is_table_fresh(now):
            return []
        for peer in self.entry_list.without(self.entry):
            last_message_at = self._last_message_at.get(peer.entry, NEVER)
            last_message_at = max(last_message_at, self._history.adopted_at)
            if now - last_message_at > self._timings.dead_after_s:
                return self._remove(peer)
        return []

    def _remove(self, peer: Member) -> list[Action]:
        # The peer gets no promise from now on, so that its lease runs out
        # within the time that its successors wait.
        is_new_removal = peer.entry not in self._removing
        self._removing.add(peer.entry)
        current = self.entry_list
        actions: list[Action] = [
            WriteEntryList(current.version, current.without(peer.entry))
        ]
        if is_new_removal:
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

    def _try_to_join(self, now: float) -> list[Action]:
        if self._is_shutting_down:
            return []
        current = self.entry_list
        actions: list[Action] = []
        for member in current.members:
            if member.entry.name == self.entry.name:
                # A former incarnation has stopped, as this process replaced
                # it; its acknowledgement is not needed.
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
