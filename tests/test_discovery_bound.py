"""What discovery has is known within 6 s whatever goes wrong on the way, as the terms want it."""

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
from tests.test_rare_moments import hanging
from tests.virtual_time import run_virtually

MOST_MS, MOVED_MS = 6_000.0, 4_000.0  # counts as told: in general, and after SIGHUP
ENDLESS = b"HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n{"
CUT = b"HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n{" + CLOSE
FAULTS = {"silent": HANG, "reset": RESET, "closed": CLOSE, "cut": CUT, "endless": ENDLESS,
          "error": answer(500), "garbage": answer(200, b"[")}  # fmt: skip
PUSHED, ASKED = "pushed", "on_request"


class FailingRegistry(Registry):
    """Answers calls by its script first; then it tells all it has at once, as discovery does."""

    async def script(self, message: ReceivedMessage) -> bytes:
        if self.failures:
            return self.failures.pop(0)
        asked = dict(pair.split("=") for pair in message.target.partition("?")[2].split("&") if pair)
        if asked and int(asked["index"]) >= self.index:  # nothing newer: it waits, and tells no changes
            await asyncio.sleep(int(asked["wait"]) / 1000.0)
            return self.listing([], False)
        return self.listing(self.full_list, True)


def told(harness: NodeHarness, servers: int) -> bool:
    assert harness.node is not None
    return len(harness.node._addresses) == servers


async def knows(harness: NodeHarness, servers: int) -> float:
    """Wait until the node knows so many; how long it took, in milliseconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not told(harness, servers):
        assert loop.time() - began < 60.0, "never"
        await asyncio.sleep(0.1)
    return 1000.0 * (loop.time() - began)


async def storm(path: Path, seed: int, nodes: int = 30) -> float:
    """As many processes, each with faults in a row of its own; the longest that one of them took."""
    draws = random.Random(seed)
    taken: list[float] = []

    async def one(n: int) -> None:
        folder = path / f"{seed}-{n}"
        folder.mkdir()
        in_a_row = [draws.choice([*FAULTS.values()]) for _ in range(draws.randint(0, 3))]
        taken.append(await play(folder, (HANG, *in_a_row), membership_mode=PUSHED))

    await asyncio.gather(*(one(n) for n in range(nodes)))
    return max(taken)


async def play(path: Path, faults: tuple[bytes, ...], held: int = 1, index: int = 2, **changes: Any) -> float:
    """A change comes when a watch is out that meets the first fault, the next calls the others.

    The node holds the list of version `held`, discovery that of `index`.
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
        taken = await knows(harness, 2)
        assert not registry.failures
        await registry.stop()
    await other.stop()
    return taken


def test_the_worst_case_adds_up_to_less_than_the_bound() -> None:
    """A silent watch, then three calls in a row that fail as late as they can, each after its pause."""
    for pause_ms, in_a_row in ((1_500.0 * DISCOVERY_RETRY_S, 3), (1.5 * RESUBSCRIBE_MAX_MS, 2)):
        assert WATCH_WAIT_MS + WATCH_GRACE_MS + pause_ms + in_a_row * (CALL_TIMEOUT_MS + pause_ms) < MOST_MS
    assert 3 * (CALL_TIMEOUT_MS + 1_500.0 * DISCOVERY_RETRY_S) < MOVED_MS


@pytest.mark.parametrize("mode", [PUSHED, ASKED])
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_after_any_fault_of_a_call_the_change_is_known_in_time(
    fault: bytes, mode: str, tmp_path: Path
) -> None:
    async def test() -> None:
        rules = {"ask_every_ms": 60_000.0}
        assert await play(tmp_path, (fault,), membership_mode=mode, rules=rules) < MOST_MS
        assert await play(tmp_path, (fault, fault), membership_mode=mode, rules=rules) < MOST_MS

    run_virtually(test())


def test_after_several_faults_in_a_row_the_change_is_known_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        later = [FAULTS[name] for name in ("silent", "cut", "endless")]
        for faults in itertools.product([HANG], later, later, later):
            assert await play(tmp_path, faults, membership_mode=PUSHED) < MOST_MS, faults

    run_virtually(test())


@pytest.mark.parametrize("seed", range(1, 4))
def test_thirty_processes_with_faults_of_their_own_all_know_in_time(seed: int, tmp_path: Path) -> None:
    async def test() -> None:
        assert await storm(tmp_path, seed) < MOST_MS

    run_virtually(test())


def test_a_connection_that_does_not_come_up_is_given_up_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(), Server(name="other")
        await other.start()
        async with hanging() as slow, node_harness(tmp_path, server, start=False) as harness:
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
            # What hung is reachable from now on, at an address that the same calls go to.
            harness.node._discovery._address = parse_address(registry.address)
            assert await knows(harness, 2) < MOST_MS
            await registry.stop()
        await other.stop()

    run_virtually(test())


@pytest.mark.parametrize("mode", [PUSHED, ASKED])
def test_a_list_that_counts_from_anew_is_taken_in_time(mode: str, tmp_path: Path) -> None:
    async def test() -> None:
        rules = {"ask_every_ms": 60_000.0}
        taken = await play(tmp_path, (HANG, CUT), 41, 3, membership_mode=mode, rules=rules)
        assert taken < MOST_MS

    run_virtually(test())


def test_after_a_move_with_faults_the_new_address_is_heard_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(), Server(name="other")
        await other.start()
        async with node_harness(tmp_path, server) as harness:
            assert harness.node is not None
            registry = FailingRegistry()
            await registry.start()
            registry.failures = [HANG, CUT, ENDLESS]
            registry.index, registry.full_list = 2, [server.entry(), other.entry()]
            await asyncio.sleep(0.5)
            harness.node.reload(replace(harness.node.config, discovery=parse_address(registry.address)))
            assert await knows(harness, 2) < MOVED_MS
            await registry.stop()
        await other.stop()

    run_virtually(test())


def test_a_list_without_a_length_ends_with_its_connection(tmp_path: Path) -> None:
    """HTTP/1.1 allows it; such an answer once counted as broken, for ever."""

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
            assert await knows(harness, 2) < MOST_MS
            await registry.stop()
        await other.stop()

    run_virtually(test())
