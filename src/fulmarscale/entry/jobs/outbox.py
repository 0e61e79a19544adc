"""What an entry sends to agents, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.actions import SendOrders
from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.site_state import must_hand_on
from fulmarscale.runs.site_state import SiteState

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.ids import EntryId


class Outbox:
    """Collects messages to agents."""

    def __init__(self, entry: EntryId, fleet: Fleet) -> None:
        self._entry = entry
        self._fleet = fleet
        self._has_kept_jobs = True
        self._site = SiteState()
        self._site_since = float("-inf")

    def note_kept_jobs(self, *, is_any: bool) -> None:
        """Note whether any jobs are kept at all, as agents want to know."""
        if is_any == self._has_kept_jobs:
            return
        self._has_kept_jobs = is_any
        for view in self._fleet.views:
            view.mark_dirty()

    def note_site(self, site: SiteState, now: float) -> None:
        """Note that another state of the site is known from now on.

        Agents are told that it is, so that they need not hand it on.
        """
        self._site = site
        self._site_since = now
        for view in self._fleet.connected:
            view.mark_dirty()

    def _must_hand_on(self, view: AgentView, now: float) -> bool:
        """Tell whether an agent is to be handed the state of the site."""
        told = view.site_revision
        return must_hand_on(self._site, self._site_since, told, now)

    def tick(self, *, has_backlog: bool, now: float) -> None:
        """Have messages sent that are due though nothing is new.

        :param has_backlog: whether tasks wait for room.
        :param now: the entry's time.
        """
        for view in self._fleet.connected:
            # Agents offer no room any more to an entry without backlog.
            is_over = view.told_backlog and not has_backlog
            is_due = view.is_due(now) or self._must_hand_on(view, now)
            if is_over or is_due:
                view.mark_dirty()

    def collect(
        self, waiting: Collection[Job], now: float
    ) -> list[SendOrders]:
        """Make all messages that are to be sent now.

        :param waiting: jobs with tasks that wait for room.
        :param now: the entry's time.
        """
        views = self._fleet.take_dirty()
        if not views:
            return []
        backlog = sum(map(waiting_demand, waiting))
        slack_s = min(
            (job.latest_start_at - now for job in waiting), default=0.0
        )
        return [
            self._make(view, backlog, slack_s, now)
            for view in views
            if view.session is not None
        ]

    def _make(
        self,
        view: AgentView,
        backlog: int,
        slack_s: float,
        now: float,
    ) -> SendOrders:
        assert view.session is not None
        view.sequence += 1
        site = self._site
        is_behind = self._must_hand_on(view, now)
        message = EntryMessage(
            entry=self._entry,
            sequence=view.sequence,
            echo=view.token,
            starts=tuple(view.starts),
            stops=tuple(view.stops),
            expected=view.expected,
            site_revision=site.revision,
            site=site if is_behind else None,
            backlog=backlog,
            slack_s=slack_s,
            receipts=tuple(view.receipts),
            has_kept_jobs=self._has_kept_jobs,
            asks=view.must_ask,
        )
        view.told_backlog = backlog > 0
        if view.must_ask:
            view.must_ask = False
            view.asked_at = now
        if view.token is not None:
            view.echoed_s = view.token.time_s
        if is_behind:
            view.site_revision = site.revision
        view.starts = []
        view.stops = []
        view.receipts = []
        view.expected = ()
        view.sent_at = now
        return SendOrders(view.session, message)
