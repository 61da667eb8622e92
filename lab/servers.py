"""A stand-in server as a model: cores that are shared, slots, a queue, and all that can be wrong with it.

The model is the same on both hosts; a `Clock` runs it, in virtual time or on an event loop. Requests in
service share the cores evenly (processor sharing): each gets min(1, cores / in service) of a core, by
the server's speed, less while it is cold, crowded, choked or slow. What is in service is kept by the
amount of service at which it is done, so a change of pace moves nothing but one timer.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from lab.scenario import Tier

WARMING_STEP_MS = 100.0  # how often the pace of a server that warms up is looked at
EPSILON = 1e-9


class Clock(Protocol):
    """What runs a model."""

    def now(self) -> float:
        """Milliseconds since the day began."""

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Do something later."""


class Job:
    """An attempt at a server. `done` is told `served`, `error`, `turned` or `dropped`, once."""

    __slots__ = ("calls", "cls", "done", "id", "life", "node", "order", "state", "until", "work_ms")

    def __init__(
        self, id: str, node: str, cls: str, work_ms: float, calls: int, done: Callable[[Job, str], None]
    ) -> None:
        self.id, self.node, self.cls, self.work_ms, self.calls, self.done = (
            id,
            node,
            cls,
            work_ms,
            calls,
            done,
        )
        self.state = "new"  # then queued, running, calling, over
        self.until = 0.0  # the service after which its work is done
        self.life = 0  # of the server, when it came
        self.order = 0

    def __lt__(self, other: Job) -> bool:
        return (self.until, self.order) < (other.until, other.order)


class Server:
    """One server."""

    def __init__(
        self, name: str, zone: str, cell: int, tier: Tier, speed: float, clock: Clock, seed: int,
        mean_work_ms: float, overload: tuple[float, float], fell: Callable[[Server], None],
    ) -> None:  # fmt: skip
        self.name, self.zone, self.cell, self.tier, self.speed = name, zone, cell, tier, speed
        self._clock, self._random = clock, random.Random(f"{seed}{name}")
        self._mean_work_ms, (self._factor, self._span_ms), self._fell = mean_work_ms, overload, fell
        self.slots = max(1, round(tier.slots_per_core * tier.cores))
        self.room = round(tier.queue_per_core * tier.cores)
        self.up, self.reachable, self.hanging = True, True, False
        self.slow, self.errors, self.pause_ms, self.pause_every_ms = 1.0, 0.0, tier.pause_ms, 1000.0
        self.started_ms = -math.inf  # of the last start; long ago
        self.connections = 0
        self.life = 0  # how often it has started: an answer of a former life is none
        self._paused_ms = -math.inf  # until then it stands still
        self._crowded_ms, self._choked_ms = math.inf, -math.inf  # crowded since; choked until
        self._running: list[Job] = []
        self._queue: deque[Job] = deque()
        self.holds = 0  # in service, queued or waiting for the tier behind
        self._service = self._seen_ms = 0.0  # that each in service has had, and as of when
        self._due_ms = math.inf
        self._order = 0
        self._came: deque[float] = deque()  # while cold: when work came
        self.call: Callable[[Job, Callable[[bool], None]], None] | None = None  # asks the tier behind
        if tier.pause_every_s and tier.pause_ms:
            clock.after(1000.0 * tier.pause_every_s * self._random.random(), self._own_pause)

    # Its pace

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has, from its last start."""
        if not self.tier.cold_s:
            return 1.0
        ramp = min(1.0, (now - self.started_ms) / (1000.0 * self.tier.cold_s))
        return self.tier.cold_from + (1.0 - self.tier.cold_from) * ramp

    def capacity_per_s(self, now: float) -> float:
        """Requests a second that it could bear now."""
        return 1000.0 * self.tier.cores * self.speed * self.warmth(now) / max(1e-9, self._mean_work_ms)

    def _pace(self, now: float) -> float:
        """Service that each running job gets, in ms of work a ms."""
        if now < self._paused_ms or self.hanging:
            return 0.0
        tier, count = self.tier, len(self._running)
        pace = self.speed * self.warmth(now) * min(1.0, tier.cores / count) / self.slow
        over = self.holds / (tier.thrash_at * tier.cores) - 1.0
        if over > 0.0:
            pace /= 1.0 + tier.thrash * over
        return pace / tier.choke_slower if now < self._choked_ms else pace

    def _advance(self, now: float) -> None:
        if self._running and now > self._seen_ms:
            self._service += self._pace(self._seen_ms) * (now - self._seen_ms)
        self._seen_ms = now

    def _arm(self, now: float) -> None:
        """Have a timer out for when the next job is done, or the pace changes by itself."""
        if not self._running:
            self._due_ms = math.inf
            return
        pace = self._pace(now)
        left = self._running[0].until - self._service
        due = now + max(0.0, left / pace) if pace > 0.0 else math.inf
        if now < self._paused_ms:
            due = self._paused_ms
        elif self.tier.cold_s and now - self.started_ms < 1000.0 * self.tier.cold_s:
            due = min(due, now + WARMING_STEP_MS)
        if now < self._choked_ms:
            due = min(due, self._choked_ms)
        # A timer that is out already and comes sooner looks again, so none has to be taken back.
        if due < self._due_ms - EPSILON:
            self._due_ms = due
            self._clock.after(due - now, self._tick, due)

    def _tick(self, due: float) -> None:
        if due != self._due_ms:
            return
        now = self._clock.now()
        self._due_ms = math.inf
        self._advance(now)
        while self._running and self._running[0].until <= self._service + 1e-6:
            job = heapq.heappop(self._running)
            if job.state == "running":
                self._worked(job)
        self._fill(now)

    def _fill(self, now: float) -> None:
        """Take from the queue what there are slots for."""
        while self._queue and self.holds - len(self._queue) < self.slots:
            job = self._queue.popleft()
            if job.state == "queued":
                self._run(job)
        self._arm(now)

    def _run(self, job: Job) -> None:
        job.state, job.until = "running", self._service + job.work_ms
        self._order += 1
        job.order = self._order
        heapq.heappush(self._running, job)

    # Its jobs

    def submit(self, job: Job) -> None:
        """Begin a request, or queue it, or turn it away."""
        now = self._clock.now()
        if not self.up:
            return
        job.life = self.life
        if self.errors and self._random.random() < self.errors:
            return self._over(job, "error", counted=False)
        if self.warmth(now) < 1.0 and self._overrun(now):
            return
        if self.holds >= self.slots + self.room:
            return self._over(job, "turned", counted=False)
        self._advance(now)
        self.holds += 1
        self._crowd(now)
        if self.holds - len(self._queue) <= self.slots:
            self._run(job)
        else:
            job.state = "queued"
            self._queue.append(job)
        self._arm(now)

    def _overrun(self, now: float) -> bool:
        """Whether a cold server has had more than it can take: then it falls, and stays down."""
        self._came.append(now)
        while self._came[0] < now - self._span_ms:
            self._came.popleft()
        bearable = self._factor * self.capacity_per_s(now) * self._span_ms / 1000.0
        if len(self._came) <= bearable + 3.0 * math.sqrt(bearable) + 2.0:
            return False
        self.die()
        self._fell(self)
        return True

    def _crowd(self, now: float) -> None:
        """Choke, for a while, a server that has held too much for too long."""
        if not self.tier.choke_at:
            return
        if self.holds <= self.tier.choke_at * self.tier.cores:
            self._crowded_ms = math.inf
        elif self._crowded_ms == math.inf:
            self._crowded_ms = now
        elif now - self._crowded_ms > 1000.0 * self.tier.choke_over_s and now >= self._choked_ms:
            self._choked_ms, self._crowded_ms = now + 1000.0 * self.tier.choke_rest_s, math.inf

    def _worked(self, job: Job) -> None:
        if job.calls and self.call is not None:
            job.state = "calling"
            job.calls -= 1
            self.call(job, partial(self._called, job, self.life))
        elif self._random.random() < self.tier.error_rate:
            self._over(job, "error")
        else:
            self._over(job, "served")

    def _called(self, job: Job, life: int, served: bool) -> None:
        if life != self.life or job.state != "calling":
            return
        if served:
            self._worked(job)
        else:
            self._over(job, "error")
        self._fill(self._clock.now())

    def _over(self, job: Job, how: str, counted: bool = True) -> None:
        job.state = "over"
        if counted:
            self.holds -= 1
            if self.tier.choke_at and self.holds <= self.tier.choke_at * self.tier.cores:
                self._crowded_ms = math.inf
        job.done(job, how)

    def cancel(self, job: Job) -> None:
        """The node has given this attempt up; what came to a former life of the server is gone anyway."""
        if job.life != self.life:
            return
        if job.state == "queued" or (job.state in ("running", "calling") and self.tier.cancels == "all"):
            now = self._clock.now()
            self._advance(now)
            if job.state == "queued":
                self._queue.remove(job)
            elif job.state == "running":
                self._running.remove(job)
                heapq.heapify(self._running)
            self._over(job, "dropped")
            self._fill(now)

    def report(self) -> dict[str, float]:
        """What it says of its load, some time old in effect: with the noise of its tier."""
        noise = 1.0 + self.tier.report_noise * (2.0 * self._random.random() - 1.0)
        return {"inflight": round(self.holds * noise, 1), "queue": float(len(self._queue))}

    # What happens to it

    def disturb(self, **changes: float | bool) -> None:
        """Change what is wrong with it from now on."""
        now = self._clock.now()
        self._advance(now)
        for name, value in changes.items():
            setattr(self, name, value)
        self._due_ms = math.inf
        self._arm(now)

    def pause(self, for_ms: float) -> None:
        """Stand still for so long."""
        now = self._clock.now()
        self._advance(now)
        self._paused_ms = max(self._paused_ms, now + for_ms)
        self._due_ms = math.inf
        self._arm(now)

    def _own_pause(self) -> None:
        self.pause(self.tier.pause_ms)
        self._clock.after(1000.0 * self.tier.pause_every_s * (0.5 + self._random.random()), self._own_pause)

    def die(self) -> None:
        """End at once; what it held is gone."""
        self.up = False
        self.life += 1
        self._running, self._due_ms = [], math.inf
        self._queue.clear()
        self.holds = self.connections = 0
        self.hanging, self.errors, self.slow = False, 0.0, 1.0

    def start(self) -> None:
        """Start anew, cold."""
        self.up = self.reachable = True
        self.started_ms = self._seen_ms = self._clock.now()
        self._paused_ms = self._choked_ms = -math.inf
        self._crowded_ms = math.inf
        self._came.clear()
