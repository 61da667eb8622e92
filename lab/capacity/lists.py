"""Cost of a service's server list at a node that calls the service, by number of servers."""

from __future__ import annotations

import json
import time
from typing import Any

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import ListUpdateKind, Result
from dunlinloft.balancer.settings import read_settings
from dunlinloft.node.addresses import Address
from dunlinloft.node.server_list import ServerList, read_server_list
from lab.capacity import sizes
from lab.capacity.model import TIMED, Experiment, Figure
from lab.capacity.tools import best_ms, held_bytes, mean_us

REQUESTS, CONCURRENT_REQUESTS = (
    400,
    8,
)  # timed requests; concurrent requests, as with 365 per second of 20 ms each
REQUEST_MS = 20.0
CALLERS = 100  # nodes that call the same service


def endpoint(n: int, since_ms: int = 0) -> dict[str, Any]:
    """Return a server's entry in the discovery format."""
    return {
        "name": sizes.name(n), "address": sizes.address(n), "zone": f"zone-{n % sizes.ZONES:02}",
        "type": "slot-front", "group": n // 8, "status": "active", "weight": 1.0, "since_ms": since_ms,
    }  # fmt: skip


def text(servers: range, snapshot: bool, index: int = 1) -> bytes:
    """Encode a list, or changes to it, in the discovery format."""
    document = {"index": index, "snapshot": snapshot, "endpoints": [endpoint(n) for n in servers]}
    return json.dumps(document, separators=(",", ":")).encode()


def _read(data: bytes) -> ServerList:
    return read_server_list(json.loads(data))


def _event(listing: ServerList) -> api.ServerListUpdate:
    kind = ListUpdateKind.SNAPSHOT if listing.is_snapshot else ListUpdateKind.DELTA
    return api.ServerListUpdate(kind, listing.index, listing.entries)


class _Caller:
    """Sends requests to a balancer and answers each a while later."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer, self._pending = balancer, list[tuple[str, int]]()
        self.now, self.sent = 0.0, 0
        self._class = next(iter(balancer.classes))

    def ask(self, n: int) -> None:
        """Send a request, and complete the oldest pending one."""
        self.now += REQUEST_MS / CONCURRENT_REQUESTS
        event = api.Request(f"r{n}", self._class, 2000.0)
        for action in self._balancer.handle(event, self.now):
            if isinstance(action, api.Send):
                self._pending.append((action.id, action.server))
                self.sent += 1
        if len(self._pending) > CONCURRENT_REQUESTS:
            id, server = self._pending.pop(0)
            ended = api.AttemptCompleted(id, 0, server, Result.SERVED, REQUEST_MS, True)
            self._balancer.handle(ended, self.now)


def _list(servers: int, seed: int) -> dict[str, float]:
    """Measure parsing and applying a full list and one change, and a request, with this many servers."""
    settings = read_settings(sizes.node_settings(CALLERS))
    full_list, one = text(range(servers), True), text(range(1), False, 2)
    found = {"bytes": float(len(full_list)), "change": float(len(one))}

    def held() -> tuple[Balancer, dict[int, Address]]:
        listing, loaded = _read(full_list), Balancer(settings, seed)
        loaded.handle(_event(listing), 0.0)
        return loaded, listing.addresses

    found["memory"], _ = held_bytes(held)
    balancer, _ = held()
    found["parse"] = best_ms(lambda: _read(full_list))
    event, change = _event(_read(full_list)), _event(_read(one))
    found["apply"] = best_ms(lambda: balancer.handle(event, 0.0))
    found["one"] = best_ms(lambda: (_read(one), balancer.handle(change, 0.0)))
    caller = _Caller(balancer)
    for n in range(REQUESTS):
        caller.ask(n)
    found["request"] = mean_us(lambda n: caller.ask(REQUESTS + n), REQUESTS)
    found["slices"] = float(len(balancer.server_set.ready))
    start = time.perf_counter()
    balancer.excluded_count(caller.now)
    found["figures"] = 1e6 * (time.perf_counter() - start)
    return found


EXPERIMENTS = (
    Experiment(
        "list", f"a service's list at a node, one of {CALLERS} that call it", "servers", 2_000.0,
        (50, 200, 500, 1000, 2000), (20, 50, 100), (1, 2, 3),
        (
            Figure("bytes", "B"), Figure("change", "B"), Figure("memory", "B"), Figure("parse", "ms", TIMED),
            Figure("apply", "ms", TIMED), Figure("one", "ms", TIMED), Figure("request", "us", TIMED),
            Figure("slices", "servers"), Figure("figures", "us", TIMED),
        ),
        _list, 8000,
    ),
)  # fmt: skip
