"""Simulated model servers: they beat, drain, leave, crash, and others start at their addresses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from dunlinloft.coordination.stream import ServerRecord

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
MAX_CALLS = 4  # of one heartbeat, each to another control plane
LIFE_S = (2.5, 9.0)  # until a server that doesn't stay ends
PLANNED_PROBABILITY = 0.6  # that it drains first, rather than crash
DRAIN_S = 2.0  # `drain_timeout_ms`
LINGER_S = (0.1, 1.0)  # that it goes on serving beyond that
REUSE_S = (2.0, 3.5)  # until another server starts at the address; `address_reuse_s` at least
CAPACITY = 8
SERVICE_S = (0.01, 0.08)  # of one request


class End(Enum):
    """How a server's life ends."""

    STAYS = auto()
    PLANNED = auto()
    CRASH = auto()


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """That a control plane acknowledged what a server said."""

    at_s: float
    in_touch: bool  # whether the control plane was


@dataclass(slots=True)
class ServerLife:
    """One server id, and what is known of it outside."""

    id: str
    address: str
    steady_since_s: float | None = None  # each heartbeat was acknowledged since then
    last_sent_s: float | None = None  # its last heartbeat, acknowledged or not
    acknowledged: int = 0  # heartbeats
    draining: Acknowledgement | None = None
    deregistered: Acknowledgement | None = None
    ended_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """What became of a call to a control plane."""

    acknowledged: bool
    in_touch: bool  # whether the control plane that was called is in touch


CallControl = Callable[[str, ServerRecord | None, str], Awaitable[CallOutcome]]
"""Calls the control plane at a host: a heartbeat with a record, or a deregistration of a server id."""


class ModelServer:
    """One machine that runs model servers one after the other.

    Parameters
    ----------
    control_hosts
        Returns the hosts that the operator's list names now.
    call
        Calls a control plane.
    """

    def __init__(
        self,
        name: str,
        service: str,
        rng: random.Random,
        now_s: Callable[[], float],
        control_hosts: Callable[[], list[str]],
        call: CallControl,
    ) -> None:
        self.lives: list[ServerLife] = []
        self.may_end = True
        self._name = name
        self._service = service
        self._rng = rng
        self._now_s = now_s
        self._control_hosts = control_hosts
        self._call = call
        self._endpoint: str | None = None  # the control plane that acknowledged last
        self._sequence = 0

    @property
    def life(self) -> ServerLife:
        """The present server, or the last one while none runs."""
        return self.lives[-1]

    async def run(self) -> None:
        """Run servers one after the other, without end."""
        while True:
            life = ServerLife(f"{self._name}.{len(self.lives) + 1}", f"{self._name}:80")
            self.lives.append(life)
            self._sequence = 0
            await self._live(life, self._draw_end())
            life.ended_s = self._now_s()
            life.steady_since_s = None
            await asyncio.sleep(self._rng.uniform(*REUSE_S))

    def _draw_end(self) -> End:
        draw = self._rng.random()
        if draw < 0.4:
            return End.STAYS
        return End.PLANNED if self._rng.random() < PLANNED_PROBABILITY else End.CRASH

    async def _live(self, life: ServerLife, end: End) -> None:
        ends_s = self._now_s() + self._rng.uniform(*LIFE_S)
        while end is End.STAYS or self._now_s() < ends_s or not self.may_end:
            await self._beat(life, "ready")
            await asyncio.sleep(HEARTBEAT_S)
        if end is End.CRASH:
            return
        while life.draining is None:
            await self._beat(life, "draining")
            if life.draining is None:
                await asyncio.sleep(HEARTBEAT_S)
        ends_s = self._now_s() + DRAIN_S + self._rng.uniform(*LINGER_S)
        while self._now_s() < ends_s:
            await asyncio.sleep(min(HEARTBEAT_S, ends_s - self._now_s()))
            await self._beat(life, "draining")
        life.steady_since_s = None
        outcome = await self._call_any(life, None)
        if outcome is not None:
            life.deregistered = Acknowledgement(self._now_s(), outcome.in_touch)

    async def _beat(self, life: ServerLife, state: str) -> None:
        life.last_sent_s = self._now_s()
        outcome = await self._call_any(life, state)
        if outcome is None:
            life.steady_since_s = None
            return
        life.acknowledged += 1
        if life.steady_since_s is None:
            life.steady_since_s = self._now_s()
        if state == "draining" and life.draining is None:
            life.draining = Acknowledgement(self._now_s(), outcome.in_touch)

    async def _call_any(self, life: ServerLife, state: str | None) -> CallOutcome | None:
        """Call control planes one after the other until one acknowledges; None where none does.

        A heartbeat with this state, or a deregistration where `state` is None.
        """
        hosts = self._control_hosts()
        self._rng.shuffle(hosts)
        if self._endpoint in hosts:
            hosts.remove(self._endpoint)
            hosts.insert(0, self._endpoint)
        for host in hosts[:MAX_CALLS]:
            outcome = await self._call(host, self._record(life, state), life.id)
            if outcome.acknowledged:
                self._endpoint = host
                return outcome
        self._endpoint = None
        return None

    def _record(self, life: ServerLife, state: str | None) -> ServerRecord | None:
        """Return the next heartbeat: its sequence number rises with each call."""
        if state is None:
            return None
        self._sequence += 1
        return ServerRecord(life.id, self._service, life.address, "zone", CAPACITY, state, self._sequence)
