"""A release as the state table stores it, as its controller orders it, and as members count it."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import Struct

RELEASE_KEY = "release"  # of the state table's row that holds the latest release
# Limits that make a plan fit a row of the state table (`leases.table_rows.MAX_VALUE_BYTES`).
MAX_STAGES = 8
MAX_SERVER_NAMES = 12
MAX_REASON_CHARS = 90
MAX_OPERATOR_CHARS = 30
LATENCY_BUCKETS = 8  # between the octiles of the old servers' latencies


class ReleaseState(StrEnum):
    """How a release stands; the values are stored, and shown to operators."""

    BAKING = "baking"  # goes through its stages by itself
    PAUSED = "paused"  # by operators, at its present share
    HALTED = "halted"  # by operators, at its present share
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "undone"


TERMINAL_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK)


class Plan(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "started_since_ms": "since_ms",
        "server_names": "named",
        "changed_by": "by",
        "reason": "why",
        "changed_at_s": "at_s",
    },
):
    """One release of servers, stored as JSON: which servers are new, its stages, and how far it is.

    New are the servers started at `started_since_ms` (Unix time) or later, or those of `server_names`.
    """

    id: int
    state: str  # a `ReleaseState`; a plain string, as a later version may store one that is unknown here
    stages: tuple[float, ...]  # the new servers' share of first sends in each
    bake_s: float  # how long each stage has to last at least
    stage: int = 0  # index
    share: float = 0.0  # the greatest of first sends that new servers get at present
    started_since_ms: float = 0.0
    server_names: tuple[str, ...] = ()
    changed_by: str = ""
    reason: str = ""  # of the latest change
    changed_at_s: int = 0  # Unix time of the latest change, for people to read

    def encode(self) -> bytes:
        """Encode as a row's value."""
        return msgspec.json.encode(self)


def decode_plan(value: bytes) -> Plan | None:
    """Decode a row's value; None where it is malformed."""
    try:
        return msgspec.json.decode(value, type=Plan)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Order(Struct, array_like=True, gc=False, frozen=True):
    """What a controller wants of all members: new servers get at most a share of first sends."""

    token: int  # the controller's fencing token
    step: int  # number of this order among the controller's
    release_id: int = 0  # 0: there is no release
    share: float = 1.0
    started_since_ms: float = 0.0
    server_ids: tuple[int, ...] = ()
    active: bool = False  # the release is judged: members have to count
    rolling_back: bool = False  # even if the state table's row may not say so yet

    def version(self) -> tuple[int, int]:
        """Of two orders the one of the greater version is valid."""
        return self.token, self.step


NO_ORDER = Order(0, 0)


class CallCounts(Struct, array_like=True, gc=False):
    """Calls of one class to one zone's servers since the release began, of new and of old servers.

    The latencies are counts by bucket, the fastest first, of successful answers of servers that are not
    warming up; the buckets lie between the octiles of the old servers' latencies.
    """

    class_id: int
    zone_id: int
    new: int
    new_failed: int
    new_latencies: list[int]
    old: int
    old_failed: int
    old_latencies: list[int]


def empty_counts(class_id: int, zone_id: int) -> CallCounts:
    """Counts of a class and zone that had no calls yet."""
    return CallCounts(class_id, zone_id, 0, 0, [0] * LATENCY_BUCKETS, 0, 0, [0] * LATENCY_BUCKETS)


class Tally(Struct, array_like=True, gc=False):
    """What one member reports: its counts, the order that it has applied, and its servers' weights."""

    order: Order
    tier: int
    counts: list[CallCounts]
    new_weight: float  # of the new servers, by warmth and state of service
    old_weight: float
    restarts: int  # of new servers that this member has seen start once more
