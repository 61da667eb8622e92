"""Measures the latency that a real node process adds to a call, with and without a fleet.

One process sends and answers the calls on 127.0.0.0/8. The added latency is the difference between the same
percentile of calls through the node and of direct calls to the server. Needs real time and an idle machine.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import httptools
import numpy as np

from lab.capacity import sizes
from lab.capacity.model import TIMED, Experiment, Figure
from lab.processes.block import Address, Block, text
from lab.processes.child import Child, environment, node_command

FOR_S, WARM_S, JOIN_S, LIMIT_S = 6.0, 1.5, 3.0, 30.0
FELLOWS = 3  # members of the node's fleet, including itself
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"


class Answerer(asyncio.Protocol):
    """A server that answers immediately, or a discovery agent whose watches end without changes."""

    def __init__(self, listing: bytes | None = None) -> None:
        self._listing = listing
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser, self._url = httptools.HttpRequestParser(self), b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        url = self._url
        self._reset_parser()
        if self._listing is None:
            self._transport.write(ANSWER)
        elif b"index=" in url:
            asyncio.get_running_loop().call_later(
                0.9, self._write_body, b'{"index":1,"snapshot":false,"endpoints":[]}'
            )
        else:
            self._write_body(self._listing)

    def _write_body(self, body: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Asker(asyncio.Protocol):
    """A keep-alive connection of a caller, with one call at a time."""

    def __init__(self, calls: Calls) -> None:
        self._calls, self._began = calls, 0.0
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes) -> None:
        """Send a request."""
        self._began = self._calls.loop.time()
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        took_ms = 1000.0 * (self._calls.loop.time() - self._began)
        status = self._parser.get_status_code()
        self._parser = httptools.HttpResponseParser(self)
        self._calls.ended(self, status, took_ms)

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()


class Calls:
    """Poisson calls to an address, on keep-alive connections."""

    def __init__(self, target: Address, rate_s: float, seed: int) -> None:
        self.loop, self._target, self._rate = asyncio.get_running_loop(), target, rate_s
        self._rng, self._idle, self._connections = random.Random(seed), list[Asker](), list[Asker]()
        self._number, self.out, self.failed = 0, 0, 0
        self.took_ms: list[float] = []

    def ended(self, asker: Asker, status: int, took_ms: float) -> None:
        """Handle an answer."""
        self.out -= 1
        self._idle.append(asker)
        if status == 200:
            self.took_ms.append(took_ms)
        else:
            self.failed += 1

    async def run(self, for_s: float) -> None:
        """Send calls for `for_s` seconds, then wait for pending answers."""
        now = self.loop.time()
        at, end = now, now + for_s
        while at < end:
            at += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            await self._ask()
        limit = self.loop.time() + LIMIT_S
        while self.out and self.loop.time() < limit:
            await asyncio.sleep(0.01)

    async def _ask(self) -> None:
        if not self._idle:
            _, asker = await self.loop.create_connection(lambda: Asker(self), *self._target)
            self._connections.append(asker)
            self._idle.append(asker)
        self._number += 1
        self.out += 1
        id = f"{self._rng.getrandbits(32):08x}{self._number:08x}"
        head = f"GET /slot-view/{id} HTTP/1.1\r\nHost: api\r\nX-Call-Id: {id}\r\nX-Budget: 2.000\r\n\r\n"
        self._idle.pop().ask(head.encode())

    def close(self) -> None:
        """Close all connections."""
        for asker in self._connections:
            asker.close()

    def percentile(self, percent: float) -> float:
        """Return a percentile of the answered calls' latency in ms."""
        return float(np.percentile(self.took_ms, percent))


async def _measure(target: Address, rate_s: float, seed: int, usage: Callable[[], float]) -> dict[str, float]:
    """Measure latency percentiles of calls to an address, and the CPU time of a process per call."""
    warm = Calls(target, rate_s, seed)
    await warm.run(WARM_S)
    warm.close()
    calls, before = Calls(target, rate_s, seed + 1), usage()
    await calls.run(FOR_S)
    calls.close()
    if calls.failed or calls.out or not calls.took_ms:
        raise RuntimeError(f"{calls.failed} calls failed and {calls.out} were not answered at {target}")
    spent = 1000.0 * (usage() - before) / len(calls.took_ms)
    return {"p50": calls.percentile(50.0), "p99": calls.percentile(99.0), "cpu": spent}


class Nodes:
    """Processes of real nodes, with their configuration."""

    def __init__(self, block: Block, folder: Path, count: int, fleet: bool) -> None:
        self._block, self._folder, self._fleet, self._count = block, folder, fleet, count
        self.children = [self._start(n) for n in range(count)]

    def _start(self, n: int) -> Child:
        block = self._block
        name = f"n{n + 1}"
        config: dict[str, Any] = {
            "name": name, "listen": text(block.node(n)), "discovery": text(block.discovery(0)),
            "seed": f"{n + 1:02x}", "limits": {"memory_mb": 96, "sockets": 512},
            "known": json.loads(listing(block)),
            "settings": sizes.node_settings(self._count) | {"my_number": n},
        }  # fmt: skip
        if self._fleet:
            names = [f"n{k + 1}" for k in range(self._count)]
            at = text(block.peer(n))
            config["fleet"] = {
                "name": "capacity", "bind": at, "seeds": [text(block.peer(0))], "voters": names,
                "share": ["verdicts", "limits"],
            }  # fmt: skip
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(config))
        temporary = self._folder / name
        temporary.mkdir(exist_ok=True)
        child_environment = environment(temporary, NODE_CONFIG=str(file), NODE_NAME=name)
        return Child(
            asyncio.get_running_loop(), node_command(), child_environment, self._folder / f"{name}.log", ()
        )

    async def ready(self) -> None:
        """Wait until all nodes accept connections and, in a fleet, had time to find each other."""
        for n in range(self._count):
            async with asyncio.timeout(LIMIT_S):
                while not await self._accepts_connections(n):
                    await asyncio.sleep(0.05)
        if self._fleet:
            await asyncio.sleep(JOIN_S)

    async def _accepts_connections(self, n: int) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self._block.node(n))
        except OSError:
            return False
        writer.close()
        return True

    def close(self) -> None:
        """Kill the processes."""
        for child in self.children:
            child.close()


def listing(block: Block) -> bytes:
    """Return the server list: one server, listed four times."""
    endpoints = [
        {
            "name": f"s{n}", "address": text(block.server(0, 0)), "zone": "linz", "type": "slot-front",
            "group": 0, "status": "active", "weight": 1.0, "since_ms": 0,
        }
        for n in range(4)
    ]  # fmt: skip
    return json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode()


async def _measure_through_node(
    block: Block, count: int, fleet: bool, rate_s: float, seed: int
) -> dict[str, float]:
    """Measure calls through the first of `count` nodes."""
    with tempfile.TemporaryDirectory() as folder:
        nodes = Nodes(block, Path(folder), count, fleet)
        first = nodes.children[0]
        try:
            await nodes.ready()
            found = await _measure(
                block.node(0), rate_s, seed, lambda: first.usage().get("cpu_s", 0.0)
            )  # fmt: skip
            return found | {"memory": first.usage().get("memory_mb", 0.0)}
        finally:
            nodes.close()


async def _measure_all(rate_s: int, seed: int) -> dict[str, float]:
    loop, block = asyncio.get_running_loop(), Block()
    server = await loop.create_server(Answerer, *block.server(0, 0))
    agent = await loop.create_server(lambda: Answerer(listing(block)), *block.discovery(0))
    found: dict[str, float] = {}
    try:
        direct = await _measure(block.server(0, 0), rate_s, seed, lambda: 0.0)
        found |= {"direct_p50": direct["p50"], "direct_p99": direct["p99"]}
        for name, count, fleet in (("alone", 1, False), ("fleet", FELLOWS, True)):
            by_node = await _measure_through_node(block, count, fleet, rate_s, seed)
            found |= {
                f"{name}_p50": by_node["p50"] - direct["p50"], f"{name}_p99": by_node["p99"] - direct["p99"],
                f"{name}_cpu": by_node["cpu"], f"{name}_memory": by_node["memory"],
            }  # fmt: skip
    finally:
        server.close()
        agent.close()
        block.release()
    return found


def _added(rate_s: int, seed: int) -> dict[str, float]:
    """Measure direct calls, and calls through a single node and a fleet: added ms and CPU per call."""
    return asyncio.run(_measure_all(rate_s, seed))


EXPERIMENTS = (
    Experiment(
        "added", "what a real node adds to a call, alone and in a fleet of three", "calls a second",
        sizes.NODE_CALLS_S, (100, 200, 365), (20, 40, 60), (1, 2),
        (
            Figure("direct_p50", "ms", TIMED), Figure("direct_p99", "ms", TIMED),
            *(
                Figure(f"{name}_{what}", unit, TIMED)
                for name in ("alone", "fleet")
                for what, unit in (("p50", "ms"), ("p99", "ms"), ("cpu", "ms/call"), ("memory", "MB"))
            ),
        ),
        _added,
    ),
)  # fmt: skip
