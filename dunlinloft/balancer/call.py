"""A request that is owed an answer."""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.server import Server


class Call:
    """A request from its arrival to its final answer. Owned by `Balancer`.

    Attributes
    ----------
    complete, ttl_ms
        Whether it has arrived completely, and how long it lives from then on.
    arrived_ms, deadline_ms
        When it arrived, and when its answer is due.
    attempts, in_flight, sent_ms
        How many were made, whether one is in flight, and when the last was sent.
    idle_ms
        How long the connection of the last attempt had been idle; 0 where that doesn't matter.
    queued, timer_token
        Whether it waits for the window to open; the timer that it waits for, 0 for none.
    streaming
        Its response flows: it is bound to that.
    first_run_ms
        When the first attempt that may have run was sent.
    group
        The deduplication group that it went to, or has to go to from the first attempt.
    """

    __slots__ = (
        "affinity_key",
        "arrived_ms",
        "attempts",
        "cls",
        "complete",
        "deadline_ms",
        "first_run_ms",
        "group",
        "id",
        "idle_ms",
        "in_flight",
        "last_server",
        "over_quota",
        "queued",
        "sent_ms",
        "streaming",
        "timer_token",
        "ttl_ms",
    )

    def __init__(self, event: api.Request, cls: api.RequestClass, now_ms: float) -> None:
        self.id = event.id
        self.cls = cls
        self.over_quota = False
        self.complete = event.complete
        self.ttl_ms = event.ttl_ms
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + event.ttl_ms if event.complete else math.inf
        self.attempts = 0
        self.in_flight = False
        self.sent_ms = now_ms
        self.idle_ms = 0.0
        self.queued = False
        self.timer_token = 0
        self.streaming = False
        self.last_server: Server | None = None
        self.first_run_ms: float | None = None
        self.group = event.pinned_group
        self.affinity_key = event.affinity_key if cls.affinity else None
