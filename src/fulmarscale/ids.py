"""Identifiers of processes, customers, submissions and tasks."""

from __future__ import annotations

from typing import Final
from typing import NewType
from typing import TYPE_CHECKING
import uuid

import msgspec

if TYPE_CHECKING:
    from random import Random

SubmissionId = NewType("SubmissionId", str)
"""A UUIDv7 in canonical lower-case form, chosen by the caller."""

CustomerName = NewType("CustomerName", str)
"""The name of a customer; the key of its contract."""

DataCentreName = NewType("DataCentreName", str)
"""The name of a data centre."""

AgentName = NewType("AgentName", str)
"""The name of an agent, unique in the site."""

RequestId = NewType("RequestId", int)
"""Identifies a pending request of a caller within an entry."""

UUID_VERSION: Final = 7
"""UUIDs of version 7 begin with a Unix timestamp in milliseconds."""


class EntryId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One incarnation of an entry."""

    name: str
    """The entry's name from its settings."""
    incarnation: int
    """Random; new whenever the entry starts or drops its records."""


class AgentId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One incarnation of an agent: one process from start to exit."""

    name: AgentName
    """The agent's name from its settings."""
    incarnation: int
    """Random; new at each start of the process."""


class TaskRef(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one task of a submission."""

    submission_id: SubmissionId
    """The submission that the task belongs to."""
    index: int
    """The position of the task in the job, from 0."""


def parse_submission_id(text: str) -> SubmissionId:
    """Validate a submission id.

    :param text: the id as the caller sent it.
    :returns: the id.
    :raises ValueError: if the text is not a canonical UUIDv7.
    """
    value = uuid.UUID(text)
    if value.version != UUID_VERSION or str(value) != text:
        raise ValueError("not a canonical UUIDv7")
    return SubmissionId(text)


def generate_submission_id(wall_time_s: float, random: Random) -> SubmissionId:
    """Generate a submission id.

    :param wall_time_s: Unix time in seconds for the id's timestamp.
    :param random: the source of the id's random bits.
    :returns: the id.
    """
    bits = int(wall_time_s * 1000) << 80
    bits |= UUID_VERSION << 76 | random.getrandbits(12) << 64
    bits |= 0b10 << 62 | random.getrandbits(62)
    return SubmissionId(str(uuid.UUID(int=bits)))


def submission_time_s(submission_id: SubmissionId) -> float:
    """Return the timestamp in a submission id.

    :param submission_id: a canonical UUIDv7.
    :returns: Unix time in seconds.
    """
    return (uuid.UUID(submission_id).int >> 80) / 1000
