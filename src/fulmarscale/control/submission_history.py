"""Decides whether a submission can have been started by a former owner.

The owner of a submission's id may start it without a record only if no other
entry can have started it. That holds if the id was made after this entry
gained the key, by more than the time for which the prior owner can have
continued to act, or if the prior owner confirms it. For all other ids the
agents' start records are searched.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.ids import submission_time_s

if TYPE_CHECKING:
    from fulmarscale.control.entry_list import AdoptedList
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.entry_list import OwnershipTerm
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.control.timings import Timings
    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import HistoryResponse

KNOWN_FOR_ALL_IDS_S = 0.0
"""A known-since time before that of every id, in Unix seconds."""

KNOWN_FOR_NO_ID_S = float("inf")
"""A known-since time after that of every id, in Unix seconds."""

FIRST_VERSION = 1
"""The version of the first entry list that is ever written."""


class HistoryAction(Enum):
    """How the owner proceeds with an id for which it has no record."""

    NEVER_STARTED = "fresh"
    """The id was never started, and no other entry can start it."""
    WAIT = "wait"
    """The prior owner may still act, so decide again later."""
    QUERY_PRIOR_OWNER = "ask_prior"
    """The prior owner is on the list and has to be queried."""
    SEARCH_AGENTS = "ask_agents"
    """No entry can exclude an earlier start: search the agents' records.

    The prior owner is gone, or has no record, but the id's time is not after
    its `known_since_s`, so it can't exclude an earlier start.
    """


class HistoryDecision(NamedTuple):
    """The decision on an id, with the data for its action."""

    action: HistoryAction
    """How to proceed."""
    prior: Member | None = None
    """The prior owner to query, for QUERY_PRIOR_OWNER."""
    list_version: int = 0
    """For QUERY_PRIOR_OWNER, the list version in which the key was gained."""
    has_record: bool = False
    """Whether the prior owner has responded that it has a record.

    The call is then forwarded to it, without another query.
    """


class ReceivedHandOver(NamedTuple):
    """The hand-over of all records by an entry that shuts down."""

    list_version: int
    """The version of the list without that entry."""
    known_since_s: float
    """Unix time; later ids without a record were never started there."""


class HistoryManager:
    """Decides whether former owners can have started an id."""

    def __init__(self, lease: LeaseManager, timings: Timings) -> None:
        self._lease = lease
        self._timings = timings
        self._hand_overs: dict[EntryId, ReceivedHandOver] = {}
        """Hand-overs of records by former owners."""
        self._responses: dict[SubmissionId, HistoryResponse] = {}
        """Responses of prior owners about ids without a record here."""

    def clear(self) -> None:
        """Drop all state, for a new incarnation."""
        self._hand_overs.clear()
        self._responses.clear()

    def receive_hand_over(
        self, of: EntryId, list_version: int, known_since_s: float
    ) -> None:
        """Record that an entry in shutdown has handed over all its records.

        :param of: the entry.
        :param list_version: the version of the list without it.
        :param known_since_s: Unix time; later ids without a record were
            never started there.
        """
        hand_over = ReceivedHandOver(list_version, known_since_s)
        self._hand_overs[of] = hand_over

    def receive_response(self, response: HistoryResponse) -> None:
        """Record a prior owner's response."""
        self._responses[response.submission_id] = response

    def drop_response(self, submission_id: SubmissionId) -> None:
        """Drop the response about an id that has a record now."""
        self._responses.pop(submission_id, None)

    def decide(
        self, submission_id: SubmissionId, now: float
    ) -> HistoryDecision:
        """Return the decision on an id that this entry owns.

        :param submission_id: the id, of which there is no record.
        :param now: monotonic time.
        """
        term = self._lease.history.ownership_term(
            self._lease.entry, submission_id
        )
        if term is None:
            return HistoryDecision(HistoryAction.WAIT)
        id_time_s = submission_time_s(submission_id)
        if id_time_s > self._known_since_s(term):
            return HistoryDecision(HistoryAction.NEVER_STARTED)
        prior = self._live_prior_owner(term)
        if prior is not None:
            return self._decide_by_response(
                submission_id, id_time_s, term, prior
            )
        if now < term.gained_at + self._timings.takeover_wait_s:
            return HistoryDecision(HistoryAction.WAIT)
        return HistoryDecision(HistoryAction.SEARCH_AGENTS)

    def known_since_s(self, key: str, max_version: int | None = None) -> float:
        """Return the time since which this entry, as owner, knows a key's ids.

        Later ids without a record were started neither by this entry nor by
        an earlier owner.

        :param key: the key.
        :param max_version: the last version of the list to consider.
        :returns: Unix time; infinity if this entry was not the owner.
        """
        term = self._lease.history.ownership_term(
            self._lease.entry, key, max_version
        )
        if term is None:
            return KNOWN_FOR_NO_ID_S
        return self._known_since_s(term)

    def known_since_for_all_s(self) -> float:
        """Return a known-since time that holds for every key of this entry.

        :returns: Unix time; infinity if none is known.
        """
        adopted_lists = self._lease.history.adopted_lists
        bound_s = KNOWN_FOR_NO_ID_S
        for position, adopted in enumerate(adopted_lists):
            if adopted.entry_list.find(self._lease.entry) is None:
                bound_s = KNOWN_FOR_NO_ID_S
                continue
            previous = adopted_lists[position - 1] if position > 0 else None
            bound_s = self._bound_with_list(previous, adopted, bound_s)
        return bound_s

    def expire(self, oldest_id_time_s: float) -> None:
        """Drop responses about ids that are rejected for their age."""
        for submission_id in list(self._responses):
            if submission_time_s(submission_id) < oldest_id_time_s:
                del self._responses[submission_id]

    def _bound_with_list(
        self,
        previous: AdoptedList | None,
        adopted: AdoptedList,
        bound_s: float,
    ) -> float:
        if adopted.entry_list.version == FIRST_VERSION:
            return KNOWN_FOR_ALL_IDS_S
        gained_s = self._age_limit_s(adopted.adopted_at)
        if previous is None or bound_s == KNOWN_FOR_NO_ID_S:
            return gained_s
        if previous.entry_list.version + 1 != adopted.entry_list.version:
            return gained_s
        for member in previous.entry_list.members:
            if adopted.entry_list.find(member.entry) is not None:
                continue
            hand_over_s = self._hand_over_known_since_s(
                member.entry, adopted.entry_list.version
            )
            if hand_over_s is None:
                hand_over_s = gained_s
            bound_s = max(bound_s, hand_over_s)
        return bound_s

    def _hand_over_known_since_s(
        self, of: EntryId, version: int
    ) -> float | None:
        # A hand-over has all records of the entry that shuts down, so it
        # also covers keys whose owner changed at an earlier version.
        hand_over = self._hand_overs.get(of)
        if hand_over is None or hand_over.list_version < version:
            return None
        return hand_over.known_since_s

    def _age_limit_s(self, gained_at: float) -> float:
        gained_at_s = self._lease.wall_time_s(gained_at)
        if gained_at_s is None:
            return KNOWN_FOR_NO_ID_S
        return gained_at_s + self._timings.age_allowance_s

    def _known_since_s(self, term: OwnershipTerm) -> float:
        # There was no owner before the first list that was ever written.
        if term.list_version == FIRST_VERSION:
            return KNOWN_FOR_ALL_IDS_S
        if term.prior is not None:
            hand_over_s = self._hand_over_known_since_s(
                term.prior, term.list_version
            )
            if hand_over_s is not None:
                return hand_over_s
        return self._age_limit_s(term.gained_at)

    def _live_prior_owner(self, term: OwnershipTerm) -> Member | None:
        if term.prior is None:
            return None
        return self._lease.entry_list.find(term.prior)

    def _decide_by_response(
        self,
        submission_id: SubmissionId,
        id_time_s: float,
        term: OwnershipTerm,
        prior: Member,
    ) -> HistoryDecision:
        response = self._responses.get(submission_id)
        version = term.list_version
        if response is None or response.list_version != version:
            return HistoryDecision(
                HistoryAction.QUERY_PRIOR_OWNER, prior, version
            )
        if response.has_record:
            return HistoryDecision(
                HistoryAction.QUERY_PRIOR_OWNER,
                prior,
                version,
                has_record=True,
            )
        if id_time_s > response.known_since_s:
            return HistoryDecision(HistoryAction.NEVER_STARTED)
        return HistoryDecision(HistoryAction.SEARCH_AGENTS)
