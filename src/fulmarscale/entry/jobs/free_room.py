"""Which waiting tasks may still be placed during one placement pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.runs.model import Resources

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.runs.model import Step


class FreeRoom:
    """The capacity that a pass may still use, on the agents of one part.

    Starts that are requested during a pass only reduce free capacity. So a
    task that no agent could run shows for the rest of the pass that no other
    task of the same label and at least the same demand can be placed. A task
    is rejected without looking at each agent, so a pass may cover any number
    of waiting jobs.

    :param views: the agents on which tasks may be placed.
    """

    def __init__(self, views: list[AgentView]) -> None:
        self._views = views
        self.held_jobs = 0
        """Jobs that may not begin yet, as their tasks don't all fit."""
        self._most_free: dict[str, Resources | None] = {}
        """The most of each resource that any agent with a label has free.

        The amounts may be those of different agents. None without any agent.
        """
        self._exhausted: dict[str, list[Resources]] = {}
        """The least demands of which no further task can be placed, by label.

        Nor can one that demands at least as much of each resource.
        """

    @property
    def views(self) -> list[AgentView]:
        """The agents on which tasks may be placed."""
        return self._views

    def may_fit_any(self, steps: tuple[Step, ...]) -> bool:
        """Return whether an agent may have room for a task of any step."""
        for step in steps:
            label = step.required_label
            if label not in self._most_free:
                self._most_free[label] = self._sum_up(label)
            most = self._most_free[label]
            if most is None or not step.demand.fits(most):
                continue
            exhausted = self._exhausted.get(label, ())
            if not any(least.fits(step.demand) for least in exhausted):
                return True
        return False

    def record_failure(self, step: Step, *, is_limited: bool) -> bool:
        """Record that no agent can run a task of a step.

        :param step: the step.
        :param is_limited: whether the limit of tasks per target, which is the
            job's own, may be the cause.
        :returns: whether it is, so that other jobs may still find room.
        """
        # Tasks have been placed since it was determined.
        self._most_free.pop(step.required_label, None)
        if is_limited and any(
            step.demand.fits(view.available)
            for view in self._with_label(step.required_label)
        ):
            return True
        self._exhausted[step.required_label] = [
            step.demand,
            *(
                least
                for least in self._exhausted.get(step.required_label, ())
                if not step.demand.fits(least)
            ),
        ]
        return False

    def _with_label(self, label: str) -> list[AgentView]:
        """Return the agents whose targets have a label; all if it's empty."""
        return [
            view for view in self._views if not label or view.has_label(label)
        ]

    def _sum_up(self, label: str) -> Resources | None:
        """Return the most of each resource that agents with a label have."""
        free = [view.available for view in self._with_label(label)]
        if not free:
            return None
        return Resources(
            max(each.cpu_millicores for each in free),
            max(each.memory_mb for each in free),
            max(each.accelerators for each in free),
        )
