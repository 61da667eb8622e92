"""Checks that changes, reads, heartbeats, quotas and placement make progress after all faults have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from lab.control.invariants import InvariantViolation
from lab.simulation.cluster import SimulatedCluster
from lab.simulation.operators import Operator

READ_INTERVAL_S = 0.2


class ProgressChecker:
    """Measures progress since its creation, which follows the end of all faults."""

    def __init__(self, cluster: SimulatedCluster, operators: Sequence[Operator]) -> None:
        self._cluster = cluster
        self._operators = operators
        self._began_ms = cluster.now
        self._acknowledged = sum(operator.acknowledged for operator in operators)
        self._heartbeats = {server: server.instance.acknowledged for server in cluster.servers}
        self._instances = {server: server.instance for server in cluster.servers}
        self._granted = {name: node.progress.granted for name, node in cluster.nodes.items()}
        self._placed = {name: node.progress.placed for name, node in cluster.nodes.items()}
        self._served = {name: node.progress.served for name, node in cluster.nodes.items()}
        self._readable: set[str] = set()  # hosts of control planes that answered a read
        for host in cluster.control_hosts():
            cluster.loop.start_outside(self._read_until_answered(host))

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since all faults ended."""
        return self._cluster.now - self._began_ms

    async def _read_until_answered(self, host: str) -> None:
        while await self._operators[0].read(host) is None:
            await asyncio.sleep(READ_INTERVAL_S)
        self._readable.add(host)

    def complete(self) -> bool:
        """Return whether everything has made progress."""
        return not self.missing()

    def missing(self) -> str:
        """Return a description of what has made no progress yet; empty if nothing is missing."""
        cluster = self._cluster
        if sum(operator.acknowledged for operator in self._operators) == self._acknowledged:
            return "no change is acknowledged"
        unread = set(cluster.control_hosts()) - self._readable
        if unread:
            return f"{sorted(unread)} answer no read"
        for server in cluster.servers:
            same = server.instance is self._instances[server]
            if (
                server.instance.ended_s is None
                and server.instance.acknowledged <= same * self._heartbeats[server]
            ):
                return f"no heartbeat of {server.instance.id} is acknowledged"
        for name, node in cluster.nodes.items():
            if node.progress.granted == self._granted[name]:
                return f"{name} is granted no quota by an owner"
            if node.progress.placed == self._placed[name]:
                return f"{name} gets no placement from an owner"
            if node.progress.served == self._served[name]:
                return f"no request of {name} is served"
        return ""

    def check_idle(self) -> None:
        """Raise `InvariantViolation` if an owner counts requests in flight after all have completed."""
        for machine in self._cluster.machines.values():
            if machine.components is None:
                continue
            services = machine.components.placement._placements._services
            in_flight = sum(len(service._in_flight) for service in services.values())
            if in_flight:
                raise InvariantViolation(f"{machine.host} counts {in_flight} requests that are not in flight")
