"""Builds the messages of an entry to its agents."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.actions import SendEntryMessage
from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.runs.messages import ClassDemand
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.site_config import must_propagate
from fulmarscale.runs.site_config import SiteConfig

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.bulkheads import Partition
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.ids import EntryId


class Backlog(NamedTuple):
    """The jobs of an entry that wait for the same targets."""

    millicores: int
    """Their waiting demand, in thousandths of a core; 0 only without jobs."""
    slack_s: float
    """The time until the earliest latest start, in seconds."""
    demands: tuple[ClassDemand, ...]
    """The same by priority class, the most urgent class first."""


def _backlog(waiting: Collection[Job], now: float) -> Backlog:
    """Return the backlog of the jobs that wait for the same targets."""
    by_priority: dict[int, tuple[int, float]] = {}
    for job in waiting:
        # Tasks may demand only memory, and agents take 0 for no backlog.
        millicores = max(1, waiting_demand(job))
        slack_s = job.latest_start_at - now
        former = by_priority.get(job.queue.priority, (0, float("inf")))
        by_priority[job.queue.priority] = (
            former[0] + millicores,
            min(former[1], slack_s),
        )
    demands = tuple(
        ClassDemand(priority, *by_priority[priority])
        for priority in sorted(by_priority)
    )
    return Backlog(
        sum(demand.millicores for demand in demands),
        min((demand.slack_s for demand in demands), default=0.0),
        demands,
    )


class Outbox:
    """Schedules and builds messages to agents, at most one each at a time."""

    def __init__(self, entry: EntryId, fleet: Fleet) -> None:
        self._entry = entry
        self._fleet = fleet
        self._has_durable_jobs = True
        """Whether any durable jobs may exist."""
        self._knows_durable_jobs = False
        """Whether any durable jobs are known to exist or are being stored."""
        self._site = SiteConfig()
        """The newest known configuration of the site."""
        self._site_adopted_at = float("-inf")
        """When that configuration was adopted."""

    def set_durable_jobs_exist(self, *, exist: bool) -> None:
        """Set whether any durable jobs exist, and send it to all agents."""
        if exist == self._has_durable_jobs == self._knows_durable_jobs:
            return
        self._has_durable_jobs = self._knows_durable_jobs = exist
        for view in self._fleet.views:
            view.mark_dirty()

    def update_site(self, site: SiteConfig, now: float) -> None:
        """Replace the site configuration.

        Its revision is sent to the agents, so that they need not propagate
        the configuration to this entry.

        :param site: the new configuration.
        :param now: the entry's time.
        """
        self._site = site
        self._site_adopted_at = now
        for view in self._fleet.connected:
            view.mark_dirty()

    def _must_propagate(self, view: AgentView, now: float) -> bool:
        """Return whether an agent has to be sent the site configuration."""
        agent_revision = view.site_revision
        return must_propagate(
            self._site, self._site_adopted_at, agent_revision, now
        )

    def tick(self, waiting: Collection[Job], now: float) -> None:
        """Schedule keep-alives, echoes and site configurations that are due.

        :param waiting: jobs with tasks that wait for free capacity.
        :param now: the entry's time.
        """
        bulkheads = self._fleet.bulkheads
        parts = {bulkheads.partition_of(job) for job in waiting}
        for view in self._fleet.connected:
            # An agent stops offering capacity once the backlog is cleared.
            is_backlog_cleared = (
                view.has_reported_backlog
                and parts.isdisjoint(bulkheads.partitions_on(view.name))
            )
            is_due = view.is_due(now) or self._must_propagate(view, now)
            if is_backlog_cleared or is_due:
                view.mark_dirty()

    def collect(
        self, waiting: Collection[Job], now: float
    ) -> list[SendEntryMessage]:
        """Build all messages that are due.

        :param waiting: jobs with tasks that wait for free capacity.
        :param now: the entry's time.
        :returns: the actions that send them.
        """
        views = self._fleet.pop_dirty()
        if not views:
            return []
        bulkheads = self._fleet.bulkheads
        backlogs: dict[tuple[Partition, ...], Backlog] = {}
        messages = []
        for view in views:
            if view.session is None:
                continue
            partitions = bulkheads.partitions_on(view.name)
            if partitions not in backlogs:
                backlogs[partitions] = _backlog(
                    [
                        job
                        for job in waiting
                        if bulkheads.partition_of(job) in partitions
                    ],
                    now,
                )
            messages.append(
                self._build_message(view, backlogs[partitions], now)
            )
        return messages

    def _build_message(
        self, view: AgentView, backlog: Backlog, now: float
    ) -> SendEntryMessage:
        """Build a message to an agent and clear what was queued for it.

        :param view: the agent.
        :param backlog: what waits for its target.
        :param now: the entry's time.
        :returns: the action that sends it.
        """
        assert view.session is not None
        view.sequence += 1
        site = self._site
        must_propagate_site = self._must_propagate(view, now)
        message = EntryMessage(
            entry=self._entry,
            sequence=view.sequence,
            echo=view.token,
            starts=tuple(view.starts),
            stops=tuple(view.stops),
            expected=view.expected,
            site_revision=site.revision,
            site=site if must_propagate_site else None,
            backlog=backlog.millicores,
            slack_s=backlog.slack_s,
            acks=tuple(view.acks),
            has_durable_jobs=self._has_durable_jobs,
            is_probe=view.must_probe,
            has_confined_queues=bool(self._fleet.bulkheads.queues),
            unconfirmed=view.unconfirmed,
            demands=backlog.demands if site.has_priorities else (),
            knows_durable_jobs=self._knows_durable_jobs,
            lost_agent_starts=tuple(view.lost_agent_starts),
        )
        view.has_reported_backlog = backlog.millicores > 0
        if view.must_probe:
            view.must_probe = False
            view.probed_at = now
        if view.token is not None:
            view.last_echo_s = view.token.time_s
        if must_propagate_site:
            view.site_revision = site.revision
        view.starts = []
        view.stops = []
        view.acks = []
        view.lost_agent_starts = []
        view.expected = ()
        view.unconfirmed = ()
        view.sent_at = now
        return SendEntryMessage(view.session, message)
