"""The status that an entry reports to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import DataCentreRow

if TYPE_CHECKING:
    from fulmarscale.entry.connected_agents import ConnectedAgent
    from fulmarscale.entry.core import EntryCore


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry on the list."""

    name: str
    """Its name."""
    data_centre: str
    """Its data centre."""
    url: str
    """The URL of its HTTP interface."""


class AgentStatus(msgspec.Struct, frozen=True):
    """One connected agent."""

    name: str
    """Its name."""
    data_centre: str
    """Its data centre."""
    state: str
    """The name of its state, which says whether it accepts new tasks."""
    slots: int
    """The number of tasks that its target runs concurrently."""
    load: int
    """The number of tasks known to run or wait there."""
    quarantined: bool
    """Whether it is sent only probes after failures."""


class SiteStatus(msgspec.Struct, frozen=True):
    """The state of the site as known to one entry."""

    version: str
    """The program's version."""
    entry: str
    """The name of the entry that reports the status."""
    ready: bool
    """Whether the load balancer may send it callers."""
    lease_age_s: float | None
    """Time since the last lease confirmation began; none before the first."""
    list_version: int
    """The version of the entry list."""
    configuration_version: int
    """The version of the configuration."""
    entries: tuple[EntryStatus, ...]
    """The entries on the list."""
    agents: tuple[AgentStatus, ...]
    """The connected agents."""
    data_centres: tuple[DataCentreRow, ...]
    """The data centres that operators have configured."""
    queued_tasks: int
    """The number of tasks queued at the entry."""
    records: int
    """The number of submissions that the entry has a record of."""


def describe(core: EntryCore, now: float, version: str) -> SiteStatus:
    """Return the state of the site as known to an entry."""
    lease = core.lease
    age_s = now - lease.confirmed_at
    return SiteStatus(
        version=version,
        entry=lease.entry.name,
        ready=core.is_ready(now),
        lease_age_s=round(age_s, 3) if age_s < float("inf") else None,
        list_version=lease.entry_list.version,
        configuration_version=lease.configuration.version,
        entries=tuple(
            EntryStatus(m.entry.name, m.data_centre, m.url)
            for m in lease.entry_list.members
        ),
        agents=tuple(
            _describe_agent(view) for view in core.dispatcher.connected_agents
        ),
        data_centres=lease.configuration.data_centres,
        queued_tasks=core.queued_tasks,
        records=core.record_count,
    )


def _describe_agent(view: ConnectedAgent) -> AgentStatus:
    return AgentStatus(
        name=view.agent.name,
        data_centre=view.data_centre,
        state=view.state.value,
        slots=view.slots,
        load=view.load,
        quarantined=view.is_quarantined,
    )
