"""Model of a server: shared cores, slots, a queue and faults.

Both hosts use the same model, driven by a `Clock` in virtual time or on an event loop. Requests in service
share the cores evenly (processor sharing): each gets min(1, cores / in service) of a core times the server's
speed, reduced while the server is cold, crowded, choked or slow. Running jobs are ordered by the cumulative
service at which they complete, so a change of pace only moves one timer.
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

WARMING_STEP_MS = 100.0  # interval for updating the pace of a server that is warming up
EPSILON = 1e-9


class Clock(Protocol):
    """Time source and scheduler of a model."""

    def now(self) -> float:
        """Return the milliseconds since the start of the run."""

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do` after a delay."""


class Job:
    """An attempt at a server; `done` is called once, with `served`, `error`, `turned` or `dropped`."""

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
        self.until = 0.0  # cumulative service at which the job completes
        self.life = 0  # the server's life when the job arrived
        self.order = 0

    def __lt__(self, other: Job) -> bool:
        return (self.until, self.order) < (other.until, other.order)


class Server:
    """A simulated server."""

    def __init__(
        self, name: str, zone: str, cell: int, tier: Tier, speed: float, clock: Clock, seed: int,
        mean_work_ms: float, overload: tuple[float, float], on_collapse: Callable[[Server], None],
    ) -> None:  # fmt: skip
        self.name, self.zone, self.cell, self.tier, self.speed = name, zone, cell, tier, speed
        self._clock, self._random = clock, random.Random(f"{seed}{name}")
        self._mean_work_ms, (self._factor, self._span_ms), self._on_collapse = (
            mean_work_ms,
            overload,
            on_collapse,
        )
        self.slots = max(1, round(tier.slots_per_core * tier.cores))
        self.queue_capacity = round(tier.queue_per_core * tier.cores)
        self.up, self.reachable, self.hanging = True, True, False
        self.slow, self.errors, self.pause_ms, self.pause_every_ms = 1.0, 0.0, tier.pause_ms, 1000.0
        self.started_ms = -math.inf  # time of the last start
        self.connections = 0
        self.life = 0  # increases with each crash; answers from earlier lives are ignored
        self._paused_until_ms = -math.inf
        self._crowded_since_ms, self._choked_until_ms = math.inf, -math.inf
        self._running: list[Job] = []
        self._queue: deque[Job] = deque()
        self.holds = 0  # jobs in service, queued or waiting for the next tier
        # Cumulative service per running job, and when it was last updated.
        self._service = self._service_updated_ms = 0.0
        self._timer_due_ms = math.inf
        self._last_order = 0
        self._cold_arrivals: deque[float] = deque()  # arrival times while cold
        self.call: Callable[[Job, Callable[[bool], None]], None] | None = None  # calls the next tier
        if tier.pause_every_s and tier.pause_ms:
            clock.after(1000.0 * tier.pause_every_s * self._random.random(), self._periodic_pause)

    # Pace

    def warmth(self, now: float) -> float:
        """Return the share of full capacity available, depending on the time since the last start."""
        if not self.tier.cold_s:
            return 1.0
        ramp = min(1.0, (now - self.started_ms) / (1000.0 * self.tier.cold_s))
        return self.tier.cold_from + (1.0 - self.tier.cold_from) * ramp

    def capacity_per_s(self, now: float) -> float:
        """Return the current capacity in requests per second."""
        return 1000.0 * self.tier.cores * self.speed * self.warmth(now) / max(1e-9, self._mean_work_ms)

    def _pace(self, now: float) -> float:
        """Return the service rate of each running job, in ms of work per ms."""
        if now < self._paused_until_ms or self.hanging:
            return 0.0
        tier, count = self.tier, len(self._running)
        pace = self.speed * self.warmth(now) * min(1.0, tier.cores / count) / self.slow
        excess_load = self.holds / (tier.thrash_at * tier.cores) - 1.0
        if excess_load > 0.0:
            pace /= 1.0 + tier.thrash * excess_load
        return pace / tier.choke_slower if now < self._choked_until_ms else pace

    def _advance(self, now: float) -> None:
        if self._running and now > self._service_updated_ms:
            self._service += self._pace(self._service_updated_ms) * (now - self._service_updated_ms)
        self._service_updated_ms = now

    def _arm(self, now: float) -> None:
        """Schedule a timer for the next completion or the next change of pace."""
        if not self._running:
            self._timer_due_ms = math.inf
            return
        pace = self._pace(now)
        remaining = self._running[0].until - self._service
        due = now + max(0.0, remaining / pace) if pace > 0.0 else math.inf
        if now < self._paused_until_ms:
            due = self._paused_until_ms
        elif self.tier.cold_s and now - self.started_ms < 1000.0 * self.tier.cold_s:
            due = min(due, now + WARMING_STEP_MS)
        if now < self._choked_until_ms:
            due = min(due, self._choked_until_ms)
        # An earlier pending timer re-arms itself when it fires, so timers need no cancellation.
        if due < self._timer_due_ms - EPSILON:
            self._timer_due_ms = due
            self._clock.after(due - now, self._tick, due)

    def _tick(self, due: float) -> None:
        if due != self._timer_due_ms:
            return
        now = self._clock.now()
        self._timer_due_ms = math.inf
        self._advance(now)
        while self._running and self._running[0].until <= self._service + 1e-6:
            job = heapq.heappop(self._running)
            if job.state == "running":
                self._work_done(job)
        self._fill(now)

    def _fill(self, now: float) -> None:
        """Start queued jobs while slots are free."""
        while self._queue and self.holds - len(self._queue) < self.slots:
            job = self._queue.popleft()
            if job.state == "queued":
                self._run(job)
        self._arm(now)

    def _run(self, job: Job) -> None:
        job.state, job.until = "running", self._service + job.work_ms
        self._last_order += 1
        job.order = self._last_order
        heapq.heappush(self._running, job)

    # Jobs

    def submit(self, job: Job) -> None:
        """Start a job, queue it or reject it."""
        now = self._clock.now()
        if not self.up:
            return
        job.life = self.life
        if self.errors and self._random.random() < self.errors:
            return self._finish(job, "error", counted=False)
        if self.warmth(now) < 1.0 and self._is_overloaded(now):
            return
        if self.holds >= self.slots + self.queue_capacity:
            return self._finish(job, "turned", counted=False)
        self._advance(now)
        self.holds += 1
        self._update_choke(now)
        if self.holds - len(self._queue) <= self.slots:
            self._run(job)
        else:
            job.state = "queued"
            self._queue.append(job)
        self._arm(now)

    def _is_overloaded(self, now: float) -> bool:
        """Return whether a cold server is overloaded; if so, it goes down and stays down."""
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] < now - self._span_ms:
            self._cold_arrivals.popleft()
        allowed_arrivals = self._factor * self.capacity_per_s(now) * self._span_ms / 1000.0
        if len(self._cold_arrivals) <= allowed_arrivals + 3.0 * math.sqrt(allowed_arrivals) + 2.0:
            return False
        self.die()
        self._on_collapse(self)
        return True

    def _update_choke(self, now: float) -> None:
        """Slow the server down for a while if it has held too many jobs for too long."""
        if not self.tier.choke_at:
            return
        if self.holds <= self.tier.choke_at * self.tier.cores:
            self._crowded_since_ms = math.inf
        elif self._crowded_since_ms == math.inf:
            self._crowded_since_ms = now
        elif now - self._crowded_since_ms > 1000.0 * self.tier.choke_over_s and now >= self._choked_until_ms:
            self._choked_until_ms, self._crowded_since_ms = now + 1000.0 * self.tier.choke_rest_s, math.inf

    def _work_done(self, job: Job) -> None:
        if job.calls and self.call is not None:
            job.state = "calling"
            job.calls -= 1
            self.call(job, partial(self._call_done, job, self.life))
        elif self._random.random() < self.tier.error_rate:
            self._finish(job, "error")
        else:
            self._finish(job, "served")

    def _call_done(self, job: Job, life: int, served: bool) -> None:
        if life != self.life or job.state != "calling":
            return
        if served:
            self._work_done(job)
        else:
            self._finish(job, "error")
        self._fill(self._clock.now())

    def _finish(self, job: Job, how: str, counted: bool = True) -> None:
        job.state = "over"
        if counted:
            self.holds -= 1
            if self.tier.choke_at and self.holds <= self.tier.choke_at * self.tier.cores:
                self._crowded_since_ms = math.inf
        job.done(job, how)

    def cancel(self, job: Job) -> None:
        """Cancel an abandoned attempt; jobs from before the server's last crash are already gone."""
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
            self._finish(job, "dropped")
            self._fill(now)

    def report(self) -> dict[str, float]:
        """Return the load report, with the noise configured for the tier."""
        noise = 1.0 + self.tier.report_noise * (2.0 * self._random.random() - 1.0)
        return {"inflight": round(self.holds * noise, 1), "queue": float(len(self._queue))}

    # Faults

    def set_faults(self, **changes: float | bool) -> None:
        """Set fault attributes from now on."""
        now = self._clock.now()
        self._advance(now)
        for name, value in changes.items():
            setattr(self, name, value)
        self._timer_due_ms = math.inf
        self._arm(now)

    def pause(self, for_ms: float) -> None:
        """Pause all work for `for_ms`."""
        now = self._clock.now()
        self._advance(now)
        self._paused_until_ms = max(self._paused_until_ms, now + for_ms)
        self._timer_due_ms = math.inf
        self._arm(now)

    def _periodic_pause(self) -> None:
        self.pause(self.tier.pause_ms)
        self._clock.after(
            1000.0 * self.tier.pause_every_s * (0.5 + self._random.random()), self._periodic_pause
        )

    def die(self) -> None:
        """Crash: all held jobs are lost."""
        self.up = False
        self.life += 1
        self._running, self._timer_due_ms = [], math.inf
        self._queue.clear()
        self.holds = self.connections = 0
        self.hanging, self.errors, self.slow = False, 0.0, 1.0

    def start(self) -> None:
        """Start cold."""
        self.up = self.reachable = True
        self.started_ms = self._service_updated_ms = self._clock.now()
        self._paused_until_ms = self._choked_until_ms = -math.inf
        self._crowded_since_ms = math.inf
        self._cold_arrivals.clear()
