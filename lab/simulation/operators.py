"""Simulated operators, which change the newest configuration that they know and check reads."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ChangeKind, ConfigurationChange
from lab.simulation.cluster import SimulatedCluster
from lab.simulation.deployment import QUOTA_LIMIT

SERVICE = "pool"
TENANT = "tenant"
MAX_ATTEMPTS = 40  # attempts to submit one change
UPDATE_PROBABILITY = 0.7  # that a change updates the configuration instead of replacing it
DUPLICATE_PROBABILITY = 0.2  # that an acknowledged change is submitted again
PREMATURE_PROBABILITY = 0.1  # that a change with a base version that does not exist yet follows
PAUSE_S = (0.05, 0.35)  # between two changes of one operator
READ_INTERVAL_S = 0.3


def _route(version: int) -> dict[str, Any]:
    return {
        "name": f"route-{version % 5}",
        "hostname": "a.example",
        "path_prefix": f"/{version % 5}/",
        "timeout_ms": 1_000 + version,
        "service": SERVICE,
    }


def _document(version: int) -> dict[str, Any]:
    tenant = {
        "name": TENANT,
        "api_keys": ["key"],
        "rate_per_s": QUOTA_LIMIT.rate_per_s,
        "burst": QUOTA_LIMIT.burst,
    }
    return {
        "version": version,
        "routes": [_route(version)],
        "services": [{"name": SERVICE}],
        "tenants": [tenant],
    }


def change_to(version: int, base: int, update: bool, text: str) -> ConfigurationChange:
    """Return a change; `text` distinguishes changes with the same versions."""
    body = (
        {"version": version, "upsert": {"routes": [_route(version)]}, "delete": {}}
        if update
        else _document(version)
    )
    kind = ChangeKind.UPDATE if update else ChangeKind.REPLACE
    return ConfigurationChange(kind, base, f"{kind}/{base}/{version}/{text}", body)


class Operator:
    """Submits changes one at a time, and checks its reads."""

    def __init__(self, cluster: SimulatedCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self.version = 0
        self.acknowledged = 0

    async def change_forever(self) -> None:
        """Submit one change after the other, forever."""
        await asyncio.sleep(0.3 + 0.2 * self._rng.random())
        while True:
            await self._change()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def read_forever(self) -> None:
        """Read periodically; no read may be older than the newest change acknowledged before it began."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            await self.read(self._draw_host())

    async def read(self, host: str) -> Reply | None:
        """Read and check the configuration at one control plane."""
        acknowledged_before = self._cluster.checker.newest_acked
        reply = await self._cluster.call_operator(host, None)
        if reply is None or reply.status != 200:
            return None
        self._cluster.checker.check_read(reply.version, acknowledged_before)
        return reply

    def _draw_host(self) -> str:
        return self._rng.choice(self._cluster.control_hosts())

    async def _change(self) -> None:
        base = self.version
        update = base > 0 and self._rng.random() < UPDATE_PROBABILITY
        change = change_to(base + self._rng.randint(1, 3), base, update, f"{self._rng.random()}")
        status = await self._submit(change)
        if status != 200:
            await self._refresh()
            return
        self.acknowledged += 1
        self.version = max(self.version, change.body["version"])
        if self._rng.random() < DUPLICATE_PROBABILITY:  # as if the reply had been lost
            await self._submit(change)
        if self._rng.random() < PREMATURE_PROBABILITY:
            await self._submit_premature()

    async def _submit_premature(self) -> None:
        """Submit a change whose base version does not exist, then the base, then the change again."""
        base = self.version + 1
        premature = change_to(base + 1, base, True, f"premature {self._rng.random()}")
        status = await self._submit(premature, MAX_ATTEMPTS // 8)
        if status != 412:
            return
        if await self._submit(change_to(base, base - 1, True, f"{self._rng.random()}")) == 200:
            self.version = max(self.version, base)
            await self._submit(premature, MAX_ATTEMPTS // 8)

    async def _submit(self, change: ConfigurationChange, attempts: int = MAX_ATTEMPTS) -> int:
        """Submit a change until its result is definite; return the HTTP status, or 0 if none is."""
        previous = ""
        for _ in range(attempts):
            hosts = [host for host in self._cluster.control_hosts() if host != previous]
            previous = self._rng.choice(hosts)
            reply = await self._cluster.call_operator(previous, change)
            if reply is not None and reply.status != 503:
                self._on_result(change, reply.status)
                return reply.status
            await asyncio.sleep(0.05 + 0.1 * self._rng.random())
        return 0

    def _on_result(self, change: ConfigurationChange, status: int) -> None:
        checker = self._cluster.checker
        checker.on_result(change, status)
        if status == 200:
            checker.check_acknowledged(self._cluster.machines, change)
            self._cluster.node_checker.on_acknowledged(change.body["version"])

    async def _refresh(self) -> None:
        """Read the current version, after a rejection or an indefinite result."""
        for _ in range(MAX_ATTEMPTS):
            reply = await self.read(self._draw_host())
            if reply is not None:
                self.version = reply.version
                return
            await asyncio.sleep(0.1)
