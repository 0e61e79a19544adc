"""Numbered log events.

The catalogue in docs/EVENTS.md is checked against this module.
"""

from __future__ import annotations

from enum import IntEnum


class Event(IntEnum):
    """Numbered log events; the names tell what happened."""

    PROCESS_STARTED = 100
    PROCESS_STOPPED = 101
    STOP_REQUESTED = 102
    LEASE_GAINED = 200
    LEASE_LOST = 201
    ENTRY_LIST_ADOPTED = 202
    ENTRY_REMOVAL_STARTED = 203
    INCARNATION_REPLACED = 204
    HAND_OVER_RECEIVED = 205
    ENTRY_LEFT = 206
    CONFIGURATION_ADOPTED = 300
    CHANGE_ACCEPTED = 301
    CHANGE_REFUSED = 302
    TABLE_FAILED = 303
    AGENT_CONNECTED = 400
    AGENT_LOST = 401
    AGENT_REPLACED = 402
    AGENT_QUARANTINED = 404
    AGENT_DRAINING = 405
    JOB_ANSWERED = 500
    RECOVERY_STARTED = 501
    RECOVERY_ENDED = 502
    TARGET_UNREACHABLE = 600
    TARGET_LEAVING = 602
    INVARIANT_BROKEN = 900
    UNEXPECTED_ERROR = 901
