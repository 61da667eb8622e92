"""A change in discovery must be known to a node within 6 s, whatever fails on the way."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.balancer.balancer import RESUBSCRIBE_MAX_MS
from dunlinloft.node.addresses import parse_address
from dunlinloft.node.discovery import CALL_TIMEOUT_MS, WATCH_GRACE_MS, WATCH_WAIT_MS
from dunlinloft.node.node import DISCOVERY_RETRY_S
from tests.peers import (
    CLOSE,
    HANG,
    RESET,
    NodeHarness,
    ReceivedMessage,
    Registry,
    Server,
    answer,
    node_harness,
)
from tests.test_rare_moments import hanging_server
from tests.virtual_time import run_in_virtual_time

BOUND_MS, MOVED_BOUND_MS = 6_000.0, 4_000.0  # bounds: in general, and after SIGHUP
ENDLESS = b"HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n{"
TRUNCATED = b"HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n{" + CLOSE
FAULTS = {"silent": HANG, "reset": RESET, "closed": CLOSE, "cut": TRUNCATED, "endless": ENDLESS,
          "error": answer(500), "garbage": answer(200, b"[")}  # fmt: skip
PUSHED, ASKED = "pushed", "on_request"


class FailingRegistry(Registry):
    """Gives its scripted failures first, then the full list at once, as discovery does."""

    async def script(self, message: ReceivedMessage) -> bytes:
        if self.failures:
            return self.failures.pop(0)
        asked = dict(pair.split("=") for pair in message.target.partition("?")[2].split("&") if pair)
        if asked and int(asked["index"]) >= self.index:  # no newer list: waits, and returns no changes
            await asyncio.sleep(int(asked["wait"]) / 1000.0)
            return self.listing([], False)
        return self.listing(self.full_list, True)


def knows_servers(harness: NodeHarness, servers: int) -> bool:
    assert harness.node is not None
    return len(harness.node._addresses) == servers


async def time_until_known(harness: NodeHarness, servers: int) -> float:
    """Wait until the node knows so many servers; return the time this took, in milliseconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not knows_servers(harness, servers):
        assert loop.time() - began < 60.0, "never"
        await asyncio.sleep(0.1)
    return 1000.0 * (loop.time() - began)


async def run_with_random_faults(path: Path, seed: int, nodes: int = 30) -> float:
    """Run nodes with random consecutive faults each; return the longest time that one of them took."""
    draws = random.Random(seed)
    elapsed: list[float] = []

    async def one(n: int) -> None:
        folder = path / f"{seed}-{n}"
        folder.mkdir()
        consecutive = [draws.choice([*FAULTS.values()]) for _ in range(draws.randint(0, 3))]
        elapsed.append(await run_with_faults(folder, (HANG, *consecutive), membership_mode=PUSHED))

    await asyncio.gather(*(one(n) for n in range(nodes)))
    return max(elapsed)


async def run_with_faults(
    path: Path, faults: tuple[bytes, ...], held: int = 1, index: int = 2, **changes: Any
) -> float:
    """Return the time until a change is known whose watch meets the first fault and later calls the others.

    The node has the list with index `held`, discovery the one with `index`.
    """
    server, other = Server(), Server(name="other")
    await other.start()
    async with node_harness(path, server, start=False, **changes) as harness:
        registry = FailingRegistry()
        await registry.start()
        registry.failures, registry.index = list(faults), index
        registry.full_list = [server.entry(), other.entry()]
        harness.config["known"]["index"] = held
        harness.config["discovery"] = registry.address
        harness.path.write_text(json.dumps(harness.config))
        await harness.start_node()
        elapsed = await time_until_known(harness, 2)
        assert not registry.failures
        await registry.stop()
    await other.stop()
    return elapsed


def test_worst_case_of_timeouts_and_delays_is_below_the_bound() -> None:
    """A silent watch, then three consecutive calls that time out, each after the longest delay."""
    for pause_ms, consecutive in ((1_500.0 * DISCOVERY_RETRY_S, 3), (1.5 * RESUBSCRIBE_MAX_MS, 2)):
        assert (
            WATCH_WAIT_MS + WATCH_GRACE_MS + pause_ms + consecutive * (CALL_TIMEOUT_MS + pause_ms) < BOUND_MS
        )
    assert 3 * (CALL_TIMEOUT_MS + 1_500.0 * DISCOVERY_RETRY_S) < MOVED_BOUND_MS


@pytest.mark.parametrize("mode", [PUSHED, ASKED])
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_change_is_known_in_time_after_any_fault_of_a_call(fault: bytes, mode: str, tmp_path: Path) -> None:
    async def test() -> None:
        rules = {"ask_every_ms": 60_000.0}
        assert await run_with_faults(tmp_path, (fault,), membership_mode=mode, rules=rules) < BOUND_MS
        assert await run_with_faults(tmp_path, (fault, fault), membership_mode=mode, rules=rules) < BOUND_MS

    run_in_virtual_time(test())


def test_change_is_known_in_time_after_consecutive_faults(tmp_path: Path) -> None:
    async def test() -> None:
        later = [FAULTS[name] for name in ("silent", "cut", "endless")]
        for faults in itertools.product([HANG], later, later, later):
            assert await run_with_faults(tmp_path, faults, membership_mode=PUSHED) < BOUND_MS, faults

    run_in_virtual_time(test())


@pytest.mark.parametrize("seed", range(1, 4))
def test_change_is_known_in_time_to_thirty_nodes_with_independent_faults(seed: int, tmp_path: Path) -> None:
    async def test() -> None:
        assert await run_with_random_faults(tmp_path, seed) < BOUND_MS

    run_in_virtual_time(test())


def test_connection_that_is_never_established_times_out_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(), Server(name="other")
        await other.start()
        async with hanging_server() as slow, node_harness(tmp_path, server, start=False) as harness:
            harness.config["discovery"] = slow.entry(server)["address"]
            harness.path.write_text(json.dumps(harness.config))
            await harness.start_node()
            loop = asyncio.get_running_loop()
            before = loop.time()
            await asyncio.sleep(3.0)
            registry = FailingRegistry()
            registry.index, registry.full_list = 2, [server.entry(), other.entry()]
            await registry.start()
            assert harness.node is not None and loop.time() - before >= 3.0
            # From now on discovery is reachable, as if the same address accepted connections again.
            harness.node._discovery._address = parse_address(registry.address)
            assert await time_until_known(harness, 2) < BOUND_MS
            await registry.stop()
        await other.stop()

    run_in_virtual_time(test())


@pytest.mark.parametrize("mode", [PUSHED, ASKED])
def test_list_with_restarted_index_is_accepted_in_time(mode: str, tmp_path: Path) -> None:
    async def test() -> None:
        rules = {"ask_every_ms": 60_000.0}
        elapsed = await run_with_faults(tmp_path, (HANG, TRUNCATED), 41, 3, membership_mode=mode, rules=rules)
        assert elapsed < BOUND_MS

    run_in_virtual_time(test())


def test_list_of_a_new_address_is_known_in_time_despite_faults(tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(), Server(name="other")
        await other.start()
        async with node_harness(tmp_path, server) as harness:
            assert harness.node is not None
            registry = FailingRegistry()
            await registry.start()
            registry.failures = [HANG, TRUNCATED, ENDLESS]
            registry.index, registry.full_list = 2, [server.entry(), other.entry()]
            await asyncio.sleep(0.5)
            harness.node.reload(replace(harness.node.config, discovery=parse_address(registry.address)))
            assert await time_until_known(harness, 2) < MOVED_BOUND_MS
            await registry.stop()
        await other.stop()

    run_in_virtual_time(test())


def test_list_without_a_length_ends_with_the_connection(tmp_path: Path) -> None:
    """HTTP/1.1 allows it, but each such response was once treated as a failed call."""

    async def test() -> None:
        server, other = Server(), Server(name="other")
        await other.start()
        async with node_harness(tmp_path, server, start=False) as harness:
            registry = FailingRegistry()
            await registry.start()
            registry.index = 2
            _, _, body = registry.listing([server.entry(), other.entry()], True).partition(b"\r\n\r\n")
            registry.failures = [b"HTTP/1.1 200 X\r\n\r\n" + body + CLOSE]
            registry.full_list = [server.entry()]
            harness.config["discovery"] = registry.address
            harness.path.write_text(json.dumps(harness.config))
            await harness.start_node()
            assert await time_until_known(harness, 2) < BOUND_MS
            await registry.stop()
        await other.stop()

    run_in_virtual_time(test())
