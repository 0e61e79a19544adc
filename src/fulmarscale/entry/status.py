"""What an entry tells operators about itself and the site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import DataCentreRow

if TYPE_CHECKING:
    from fulmarscale.entry.agents import AgentView
    from fulmarscale.entry.core import EntryCore


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry on the list."""

    name: str
    """Its name."""
    data_centre: str
    """Where it runs."""
    url: str
    """Where its HTTP is served."""


class AgentStatus(msgspec.Struct, frozen=True):
    """One connected agent."""

    name: str
    """Its name."""
    data_centre: str
    """Where it is."""
    state: str
    """Whether it takes new tasks."""
    slots: int
    """Tasks that its target runs side by side."""
    load: int
    """Tasks known to run or wait there."""
    quarantined: bool
    """Whether it gets only probes."""


class SiteStatus(msgspec.Struct, frozen=True):
    """The site as one entry sees it."""

    version: str
    """The program's version."""
    entry: str
    """The entry that answers."""
    ready: bool
    """Whether it takes callers."""
    lease_age_s: float | None
    """Time since the last confirmation began; none before the first."""
    list_version: int
    """The version of the entry list."""
    configuration_version: int
    """The version of the configuration."""
    entries: tuple[EntryStatus, ...]
    """The entries on the list."""
    agents: tuple[AgentStatus, ...]
    """The connected agents."""
    data_centres: tuple[DataCentreRow, ...]
    """The data centres that operators have named."""
    queued_tasks: int
    """Tasks that wait here for an agent."""
    records: int
    """Submissions that the entry has a record of."""


def describe(core: EntryCore, now: float, version: str) -> SiteStatus:
    """Describe the site as an entry sees it."""
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
        agents=tuple(_describe_agent(view) for view in core.gatherer.views),
        data_centres=lease.configuration.data_centres,
        queued_tasks=core.queued_tasks,
        records=core.record_count,
    )


def _describe_agent(view: AgentView) -> AgentStatus:
    return AgentStatus(
        name=view.agent.name,
        data_centre=view.data_centre,
        state=view.state.value,
        slots=view.slots,
        load=view.load,
        quarantined=view.is_quarantined,
    )
