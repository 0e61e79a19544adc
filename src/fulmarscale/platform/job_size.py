"""What a submitted job takes in memory beyond its body.

A few bytes of a body may stand for thousands of tasks, each of which the
entry keeps an object for.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.model import JobSpec

MAX_JOB_ID_CHARACTERS: Final = 64
"""The longest id of a job; callers choose 16 digits."""

MAX_TASKS: Final = 10_000
"""The most tasks of a job."""

FEW_STEPS: Final = 16
"""Steps of a job up to which the bytes of its body stand for them."""

FEW_TASKS: Final = 16
"""Tasks of a job up to which the number of connections bounds them."""

STEP_BYTES: Final = 1024
"""Memory allowed for a decoded step."""

TASK_BYTES: Final = 1024
"""Memory allowed for a task of an open job."""

DEPENDENCY_BYTES: Final = 40
"""Memory allowed for the number of an earlier step."""


def count_tasks(spec: JobSpec) -> int:
    """Return the number of a job's tasks."""
    return sum(step.count for step in spec.steps)


def decoded_bytes(spec: JobSpec) -> int:
    """Return the memory that counts beside a job's body.

    :param spec: the decoded job.
    :returns: the bytes; 0 for a job of few steps and tasks.
    """
    tasks = count_tasks(spec)
    if len(spec.steps) <= FEW_STEPS and tasks <= FEW_TASKS:
        return 0
    dependencies = sum(len(step.after) for step in spec.steps)
    return (
        len(spec.steps) * STEP_BYTES
        + tasks * TASK_BYTES
        + dependencies * DEPENDENCY_BYTES
    )
