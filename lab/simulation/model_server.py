"""Simulated model servers, which send heartbeats, drain, deregister and crash; addresses are reused."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from dunlinloft.coordination.stream import ServerRecord

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
MAX_CALLS = 4  # per heartbeat, each to another control plane
INSTANCE_LIFETIME_S = (2.5, 9.0)  # range of the lifetime of an instance that ends
PLANNED_PROBABILITY = 0.6  # that an instance which ends drains first and does not crash
DRAIN_S = 2.0  # `drain_timeout_ms`
DRAIN_OVERRUN_S = (0.1, 1.0)  # range of the time that it serves after the drain timeout
ADDRESS_REUSE_S = (2.0, 3.5)  # until another instance starts at the address; not below `address_reuse_s`
CAPACITY = 8  # concurrent requests
SERVICE_S = (0.01, 0.08)  # range of the duration of a request


class InstanceEnd(Enum):
    """How an instance ends."""

    NEVER = auto()
    PLANNED = auto()
    CRASH = auto()


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The acknowledgement of a server's message by a control plane."""

    at_s: float
    in_contact: bool  # whether the control plane was in contact


@dataclass(slots=True)
class ServerInstance:
    """One run of a model server under one server id, as observed from outside."""

    id: str
    address: str
    steady_since_s: float | None = None  # each heartbeat since then was acknowledged
    last_sent_s: float | None = None  # time of the last heartbeat, acknowledged or not
    acknowledged: int = 0  # number of heartbeats
    draining: Acknowledgement | None = None
    deregistered: Acknowledgement | None = None
    ended_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of a call to a control plane."""

    acknowledged: bool
    in_contact: bool  # whether the called control plane is in contact


CallControl = Callable[[str, ServerRecord | None, str], Awaitable[CallOutcome]]
"""Calls the control plane at a host: a heartbeat with a record, or the deregistration of an id."""


class ModelServer:
    """A machine that runs one model server instance after the other.

    Parameters
    ----------
    control_hosts
        Returns the hosts of the configured control planes.
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
        self.instances: list[ServerInstance] = []
        self.may_end = True
        self._serve_on_s: float | None = None  # set by `deregister_first`
        self._name = name
        self._service = service
        self._rng = rng
        self._now_s = now_s
        self._control_hosts = control_hosts
        self._call = call
        self._endpoint: str | None = None  # the control plane that last acknowledged a call
        self._sequence = 0

    @property
    def instance(self) -> ServerInstance:
        """The running instance, or the last one while none runs."""
        return self.instances[-1]

    async def run(self) -> None:
        """Run instances one after the other, forever."""
        while True:
            instance = ServerInstance(f"{self._name}.{len(self.instances) + 1}", f"{self._name}:80")
            self.instances.append(instance)
            self._sequence = 0
            await self._run_instance(instance, self._draw_end())
            instance.ended_s = self._now_s()
            instance.steady_since_s = None
            await asyncio.sleep(self._rng.uniform(*ADDRESS_REUSE_S))

    def deregister_first(self, serve_on_s: float) -> None:
        """Let the instance deregister without draining, serve on for a time, and end."""
        self._serve_on_s = serve_on_s

    def _draw_end(self) -> InstanceEnd:
        draw = self._rng.random()
        if draw < 0.4:
            return InstanceEnd.NEVER
        return InstanceEnd.PLANNED if self._rng.random() < PLANNED_PROBABILITY else InstanceEnd.CRASH

    async def _run_instance(self, instance: ServerInstance, end: InstanceEnd) -> None:
        ends_s = self._now_s() + self._rng.uniform(*INSTANCE_LIFETIME_S)
        while end is InstanceEnd.NEVER or self._now_s() < ends_s or not self.may_end:
            if self._serve_on_s is not None:
                await self._deregister(instance)
                await asyncio.sleep(self._serve_on_s)
                self._serve_on_s = None
                return
            await self._send_heartbeat(instance, "ready")
            await asyncio.sleep(HEARTBEAT_S)
        if end is InstanceEnd.CRASH:
            return
        while instance.draining is None:
            await self._send_heartbeat(instance, "draining")
            if instance.draining is None:
                await asyncio.sleep(HEARTBEAT_S)
        ends_s = self._now_s() + DRAIN_S + self._rng.uniform(*DRAIN_OVERRUN_S)
        while self._now_s() < ends_s:
            await asyncio.sleep(min(HEARTBEAT_S, ends_s - self._now_s()))
            await self._send_heartbeat(instance, "draining")
        await self._deregister(instance)

    async def _deregister(self, instance: ServerInstance) -> None:
        instance.steady_since_s = None
        outcome = await self._call_any(instance, None)
        if outcome is not None:
            instance.deregistered = Acknowledgement(self._now_s(), outcome.in_contact)

    async def _send_heartbeat(self, instance: ServerInstance, state: str) -> None:
        instance.last_sent_s = self._now_s()
        outcome = await self._call_any(instance, state)
        if outcome is None:
            instance.steady_since_s = None
            return
        instance.acknowledged += 1
        if instance.steady_since_s is None:
            instance.steady_since_s = self._now_s()
        if state == "draining" and instance.draining is None:
            instance.draining = Acknowledgement(self._now_s(), outcome.in_contact)

    async def _call_any(self, instance: ServerInstance, state: str | None) -> CallOutcome | None:
        """Call control planes in turn until one acknowledges; return None if none does.

        Sends a heartbeat with this state, or a deregistration if `state` is None.
        """
        hosts = self._control_hosts()
        self._rng.shuffle(hosts)
        if self._endpoint in hosts:
            hosts.remove(self._endpoint)
            hosts.insert(0, self._endpoint)
        for host in hosts[:MAX_CALLS]:
            outcome = await self._call(host, self._record(instance, state), instance.id)
            if outcome.acknowledged:
                self._endpoint = host
                return outcome
        self._endpoint = None
        return None

    def _record(self, instance: ServerInstance, state: str | None) -> ServerRecord | None:
        """Return the next heartbeat, with an incremented sequence number; None for a deregistration."""
        if state is None:
            return None
        self._sequence += 1
        return ServerRecord(
            instance.id, self._service, instance.address, "zone", CAPACITY, state, self._sequence
        )
