"""Enforces the rate limit of each customer's contract.

One entry, chosen by rendezvous hash, holds a customer's quota: the only
token bucket for its task starts. The starts granted by all entries together
therefore never exceed the contract, and all of it can be used through a
single entry. Nothing is written to the table of the control plane. When the
holder changes, the new one gets the bucket's level from the prior one.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.control.actions import SendPeer
from fulmarscale.control.submission_history import FIRST_VERSION
from fulmarscale.wire.messages import QuotaLevel
from fulmarscale.wire.messages import QuotaLevelQuery
from fulmarscale.wire.messages import QuotaLevelResponse

if TYPE_CHECKING:
    from fulmarscale.control.configuration import Contract
    from fulmarscale.control.entry_list import EntryList
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.entry_list import OwnershipTerm
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.control.submission_history import HistoryManager
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.ids import CustomerName


RESEND_S = 0.3
"""Time after which a query without a response is resent."""


class LevelKey(NamedTuple):
    """The key of a bucket level sent at a change of the holder."""

    customer: CustomerName
    """The customer."""
    list_version: int
    """The version of the entry list that changed the holder."""


class GrantDecision(NamedTuple):
    """The decision on a request for task starts."""

    is_granted: bool
    """Whether the tasks may start."""
    is_decided: bool
    """Whether this entry could decide, as a holder that knows the level.

    If not, the request has to be repeated.
    """


class TokenBucket:
    """A token bucket with one token for each task that may start.

    :param level: the number of tokens.
    :param filled_at: monotonic time at which it had that level.
    """

    def __init__(self, level: float, filled_at: float) -> None:
        self._level = level
        self._filled_at = filled_at

    def level(self, contract: Contract, now: float) -> float:
        """Add the tokens earned until now and return the level."""
        elapsed_s = max(0.0, now - self._filled_at)
        filled = self._level + elapsed_s * contract.rate
        self._level = min(float(contract.burst), filled)
        self._filled_at = max(now, self._filled_at)
        return self._level

    def take(self, tokens: int, contract: Contract, now: float) -> bool:
        """Remove tokens if there are enough.

        :param tokens: the number of tasks.
        :param contract: the limits in force.
        :param now: monotonic time.
        :returns: whether they were removed.
        """
        if tokens > self.level(contract, now):
            return False
        self._level -= tokens
        return True


class QuotaManager:
    """Grants task starts to customers whose quota this entry holds.

    It also moves the levels of token buckets to new holders.
    """

    def __init__(
        self,
        lease: LeaseManager,
        submission_history: HistoryManager,
        timings: Timings,
        actions: ActionBuffer,
    ) -> None:
        self._lease = lease
        self._submission_history = submission_history
        self._timings = timings
        self._actions = actions
        self._buckets: dict[CustomerName, TokenBucket] = {}
        self._bucket_versions: dict[CustomerName, int] = {}
        """The list version with which each bucket's quota was gained."""
        self._transferred_levels: dict[LevelKey, float] = {}
        """Levels from prior holders that no bucket was made of yet."""
        self._queried_at: dict[CustomerName, float] = {}
        self._is_stopped = False

    def clear(self) -> None:
        """Drop all state when a new incarnation begins."""
        self._buckets.clear()
        self._bucket_versions.clear()
        self._transferred_levels.clear()
        self._queried_at.clear()

    def stop(self) -> None:
        """Grant nothing more, since the levels are being handed over."""
        self._is_stopped = True

    def holder(
        self, customer: CustomerName, entry_list: EntryList | None = None
    ) -> Member | None:
        """Return the entry that holds a customer's quota.

        :param customer: the customer.
        :param entry_list: the list to use; by default the current one.
        """
        entry_list = entry_list or self._lease.entry_list
        return entry_list.owner(_quota_key(customer))

    def take(
        self, customer: CustomerName, tokens: int, now: float
    ) -> GrantDecision:
        """Grant or deny task starts from this entry's bucket.

        :param customer: the customer.
        :param tokens: the number of tasks.
        :param now: monotonic time.
        """
        row = self._lease.configuration.contract(customer)
        if row is None or self._is_stopped or not self._lease.is_held(now):
            return GrantDecision(is_granted=False, is_decided=False)
        bucket = self._find_bucket(customer, row.contract, now)
        if bucket is None:
            return GrantDecision(is_granted=False, is_decided=False)
        return GrantDecision(
            bucket.take(tokens, row.contract, now), is_decided=True
        )

    def levels(self, now: float) -> list[QuotaLevel]:
        """Return the levels of all buckets, for a hand-over."""
        quota_levels = []
        for customer, bucket in self._buckets.items():
            row = self._lease.configuration.contract(customer)
            if row is not None:
                level = bucket.level(row.contract, now)
                quota_levels.append(QuotaLevel(customer, level))
        return quota_levels

    def receive_levels(
        self, list_version: int, levels: tuple[QuotaLevel, ...]
    ) -> None:
        """Store the levels from a holder that is shutting down."""
        for quota_level in levels:
            key = LevelKey(quota_level.customer, list_version)
            self._transferred_levels[key] = quota_level.level

    def receive_level_query(
        self, sender: Member, query: QuotaLevelQuery, now: float
    ) -> None:
        """Send the bucket's level to the holder that follows this entry."""
        if self._lease.entry_list.version < query.list_version:
            # By its older list this entry may still grant starts, so there
            # is no response; the sender repeats the query.
            return
        level = 0.0
        row = self._lease.configuration.contract(query.customer)
        if row is not None:
            level = self._level_at_transfer(query, row.contract, now)
        response = QuotaLevelResponse(
            query.customer, query.list_version, level
        )
        self._actions.add(SendPeer(sender, response))

    def receive_level_response(self, response: QuotaLevelResponse) -> None:
        """Store the level from the prior holder."""
        key = LevelKey(response.customer, response.list_version)
        self._transferred_levels[key] = response.level

    def _level_at_transfer(
        self, query: QuotaLevelQuery, contract: Contract, now: float
    ) -> float:
        bucket = self._buckets.get(query.customer)
        version = self._bucket_versions.get(query.customer, 0)
        if bucket is not None and version < query.list_version:
            return bucket.level(contract, now)
        term = self._lease.history.ownership_term(
            self._lease.entry,
            _quota_key(query.customer),
            query.list_version - 1,
        )
        if term is None:
            return 0.0
        if term.list_version == FIRST_VERSION:
            return float(contract.burst)
        # This entry was the holder but never got a request. The bucket has
        # been filling since the holder before it stopped granting, when it
        # may have been empty.
        stopped_at = term.gained_at + self._timings.takeover_wait_s
        return TokenBucket(0.0, stopped_at).level(contract, now)

    def _find_bucket(
        self, customer: CustomerName, contract: Contract, now: float
    ) -> TokenBucket | None:
        key = _quota_key(customer)
        term = self._lease.history.ownership_term(self._lease.entry, key)
        if term is None:
            return None
        if self._bucket_versions.get(customer) == term.list_version:
            return self._buckets[customer]
        bucket = self._make_bucket(customer, contract, term, now)
        if bucket is not None:
            self._buckets[customer] = bucket
            self._bucket_versions[customer] = term.list_version
        return bucket

    def _make_bucket(
        self,
        customer: CustomerName,
        contract: Contract,
        term: OwnershipTerm,
        now: float,
    ) -> TokenBucket | None:
        if term.list_version == FIRST_VERSION:
            return TokenBucket(float(contract.burst), now)
        level_key = LevelKey(customer, term.list_version)
        level = self._transferred_levels.pop(level_key, None)
        if level is not None:
            return TokenBucket(level, now)
        # The prior holder may have used up the bucket until it stopped.
        stopped_at = term.gained_at + self._timings.takeover_wait_s
        if now >= stopped_at:
            return TokenBucket(0.0, stopped_at)
        self._query_prior_holder(customer, term, now)
        return None

    def _query_prior_holder(
        self, customer: CustomerName, term: OwnershipTerm, now: float
    ) -> None:
        if term.prior is None:
            return
        prior = self._lease.entry_list.find(term.prior)
        queried_at = self._queried_at.get(customer, float("-inf"))
        if prior is None or now - queried_at < RESEND_S:
            return
        self._queried_at[customer] = now
        query = QuotaLevelQuery(customer, term.list_version)
        self._actions.add(SendPeer(prior, query))


def _quota_key(customer: CustomerName) -> str:
    return f"quota:{customer}"
