"""Counts the tasks for which targets have free capacity.

The sum of the free capacity of many targets says little, as most of it may be
in parts that are too small for a task.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.runs.model import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.job import Job


def largest_demand(job: Job) -> Resources:
    """Return the largest amounts that any waiting task of a job demands."""
    demands = [task.step.demand for task in job.waiting]
    return Resources(
        max((each.cpu_millicores for each in demands), default=0),
        max((each.memory_mb for each in demands), default=0),
        max((each.accelerators for each in demands), default=0),
    )


def fitting_tasks(demand: Resources, free: Iterable[Resources]) -> int:
    """Return how many tasks of one demand fit, each on one target.

    :param demand: what each task demands; if nothing, any number fits.
    :param free: the free resources of each target.
    """
    return sum(_fitting_on(demand, each) for each in free)


MAX_FITTING: Final = 1_000_000
"""The number that stands for any number of tasks."""


def _fitting_on(demand: Resources, free: Resources) -> int:
    count = MAX_FITTING
    if demand.cpu_millicores:
        count = min(count, free.cpu_millicores // demand.cpu_millicores)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, free.accelerators // demand.accelerators)
    return max(0, count)
