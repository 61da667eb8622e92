"""The state of a request that has not been answered yet."""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.server import Server


class Call:
    """A request from its arrival to its final answer. Owned by `Balancer`.

    Attributes
    ----------
    complete, ttl_ms
        Whether the request has arrived completely, and the time from then to its deadline.
    arrived_ms, deadline_ms
        When the request arrived, and when its answer is due.
    attempts, in_flight, sent_ms
        Number of attempts sent, whether one is in flight, and when the last was sent.
    idle_ms
        How long the connection of the last attempt had been idle; 0 if it was in use or has been closed.
    queued, timer_token
        Whether the call is in an admission queue, and the token of its current timer; 0 for none.
    streaming
        Whether the response has started, after which no other attempt may be made.
    first_execution_ms
        When the first attempt that may have been executed was sent; None if there is none.
    group
        The deduplication group that all attempts have to go to; None if not restricted.
    """

    __slots__ = (
        "affinity_key",
        "arrived_ms",
        "attempts",
        "cls",
        "complete",
        "deadline_ms",
        "first_execution_ms",
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
        self.first_execution_ms: float | None = None
        self.group = event.pinned_group
        self.affinity_key = event.affinity_key if cls.affinity else None
