"""What a new owner may know of a submission's past.

An entry may start an id without a record only if no other entry can have
started it: the id is younger than the gain of its key by more than the
prior owner can have gone on, or the prior owner says so itself. All other
ids are looked for in the agents' start records.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.ids import submission_time_s

if TYPE_CHECKING:
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.entry_list import Tenure
    from fulmarscale.control.entry_list import View
    from fulmarscale.control.lease import LeaseKeeper
    from fulmarscale.control.timings import Timings
    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import PastAnswer

ALWAYS_S = 0.0
"""A known-since time that all ids are younger than."""

NEVER_S = float("inf")
"""A known-since time that no id is younger than."""

FIRST_VERSION = 1
"""The version of the first entry list that is ever written."""


class Verdict(Enum):
    """What the owner may do with an id that it has no record of."""

    FRESH = "fresh"
    """It was never started and can't be by anyone else."""
    WAIT = "wait"
    """The prior owner may still act; decide again later."""
    ASK_PRIOR = "ask_prior"
    """The prior owner lives and has to be asked."""
    ASK_AGENTS = "ask_agents"
    """The prior owner is gone; its records may be with the agents."""


class Past(NamedTuple):
    """The verdict on an id."""

    verdict: Verdict
    """What to do."""
    prior: Member | None = None
    """Whom to ask, for ASK_PRIOR."""
    list_version: int = 0
    """The version with which the key was gained, for ASK_PRIOR."""
    has_record: bool = False
    """Whether the prior owner said that it has a record."""


class ReceivedHandOver(NamedTuple):
    """What is known from an entry that handed over all its records."""

    list_version: int
    """The version of the list without it."""
    known_since_s: float
    """Unix time; younger ids without a record never started there."""


class PastKeeper:
    """Decides what is known of an id's past."""

    def __init__(self, lease: LeaseKeeper, timings: Timings) -> None:
        self._lease = lease
        self._timings = timings
        self._hand_overs: dict[EntryId, ReceivedHandOver] = {}
        self._answers: dict[SubmissionId, PastAnswer] = {}

    def clear(self) -> None:
        """Forget all, as a new incarnation does."""
        self._hand_overs.clear()
        self._answers.clear()

    def receive_hand_over(
        self, of: EntryId, list_version: int, known_since_s: float
    ) -> None:
        """Note that a leaving entry has handed over all its records."""
        received = ReceivedHandOver(list_version, known_since_s)
        self._hand_overs[of] = received

    def receive_answer(self, answer: PastAnswer) -> None:
        """Note what a prior owner said."""
        self._answers[answer.submission_id] = answer

    def forget(self, submission_id: SubmissionId) -> None:
        """Drop what was noted about an id that now has a record."""
        self._answers.pop(submission_id, None)

    def decide(self, submission_id: SubmissionId, now: float) -> Past:
        """Decide on an id that this entry owns and has no record of."""
        tenure = self._lease.history.tenure(self._lease.entry, submission_id)
        if tenure is None:
            return Past(Verdict.WAIT)
        id_time_s = submission_time_s(submission_id)
        if id_time_s > self._known_since_s(tenure):
            return Past(Verdict.FRESH)
        prior = self._living_prior(tenure)
        if prior is not None:
            return self._decide_by_answer(
                submission_id, id_time_s, tenure, prior
            )
        if now < tenure.gained_at + self._timings.takeover_wait_s:
            return Past(Verdict.WAIT)
        return Past(Verdict.ASK_AGENTS)

    def known_since_s(self, key: str, upto: int | None = None) -> float:
        """Give the age limit that this entry applied as a key's owner.

        :param key: the key.
        :param upto: the last version of the list to look at.
        :returns: Unix time; infinity if it was not the owner.
        """
        tenure = self._lease.history.tenure(self._lease.entry, key, upto)
        if tenure is None:
            return NEVER_S
        return self._known_since_s(tenure)

    def known_since_for_all_s(self) -> float:
        """Give an age limit that holds for every key of this entry."""
        views = self._lease.history.views
        bound_s = NEVER_S
        for position, view in enumerate(views):
            if view.entry_list.find(self._lease.entry) is None:
                bound_s = NEVER_S
                continue
            before = views[position - 1] if position > 0 else None
            bound_s = self._bound_after(before, view, bound_s)
        return bound_s

    def expire(self, oldest_id_time_s: float) -> None:
        """Drop answers about ids that are refused for their age."""
        for submission_id in list(self._answers):
            if submission_time_s(submission_id) < oldest_id_time_s:
                del self._answers[submission_id]

    def _bound_after(
        self, before: View | None, view: View, bound_s: float
    ) -> float:
        if view.entry_list.version == FIRST_VERSION:
            return ALWAYS_S
        gained_s = self._age_limit_s(view.adopted_at)
        if before is None or bound_s == NEVER_S:
            return gained_s
        if before.entry_list.version + 1 != view.entry_list.version:
            return gained_s
        for member in before.entry_list.members:
            if view.entry_list.find(member.entry) is not None:
                continue
            handed_over_s = self._handed_over_s(
                member.entry, view.entry_list.version
            )
            if handed_over_s is None:
                handed_over_s = gained_s
            bound_s = max(bound_s, handed_over_s)
        return bound_s

    def _handed_over_s(self, of: EntryId, version: int) -> float | None:
        # A hand-over holds all records of the leaving entry, so that it
        # also covers keys that went over from it at an earlier version.
        received = self._hand_overs.get(of)
        if received is None or received.list_version < version:
            return None
        return received.known_since_s

    def _age_limit_s(self, gained_at: float) -> float:
        gained_at_s = self._lease.wall_time_s(gained_at)
        if gained_at_s is None:
            return NEVER_S
        return gained_at_s + self._timings.age_allowance_s

    def _known_since_s(self, tenure: Tenure) -> float:
        # The first list ever written can have no owner before it.
        if tenure.list_version == FIRST_VERSION:
            return ALWAYS_S
        if tenure.prior is not None:
            handed_over_s = self._handed_over_s(
                tenure.prior, tenure.list_version
            )
            if handed_over_s is not None:
                return handed_over_s
        return self._age_limit_s(tenure.gained_at)

    def _living_prior(self, tenure: Tenure) -> Member | None:
        if tenure.prior is None:
            return None
        return self._lease.entry_list.find(tenure.prior)

    def _decide_by_answer(
        self,
        submission_id: SubmissionId,
        id_time_s: float,
        tenure: Tenure,
        prior: Member,
    ) -> Past:
        answer = self._answers.get(submission_id)
        version = tenure.list_version
        if answer is None or answer.list_version != version:
            return Past(Verdict.ASK_PRIOR, prior, version)
        if answer.has_record:
            return Past(Verdict.ASK_PRIOR, prior, version, has_record=True)
        if id_time_s > answer.known_since_s:
            return Past(Verdict.FRESH)
        return Past(Verdict.ASK_AGENTS)
