"""Placement: which server a request goes to, seen from one place."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from msgspec import Struct

from dunlinloft.coordination.placement import PlacementRequest, ServicePlacement, owner_of_service
from dunlinloft.coordination.stream import (
    Place,
    PlaceChosen,
    Placed,
    PlaceEnded,
    Replicas,
    ServerRecord,
)
from dunlinloft.dataplane.placement_client import PlacedRequest, PlacementClient
from dunlinloft.dataplane.server_pool import ServerRequirements
from tests.virtual_time import run_virtually

LONG = PlacementRequest((("system", 2_500), ("handbook", 3_800), ("own", 2_900)), 60)
SHORT = PlacementRequest((("greeting", 50), ("rider", 30), ("own", 140)), 4_000)


def _record(number: int, capacity: int = 12, state: str = "ready") -> ServerRecord:
    return ServerRecord(f"i-{number}", "pool", f"10.0.0.{number}:80", "a", capacity, state, 1)


def _placement(servers: int = 6, capacity: int = 12) -> ServicePlacement:
    placement = ServicePlacement(random.Random(1))
    placement.follow(_record(n, capacity) for n in range(servers))
    placement.set_memory(300_000)
    return placement


def _place(placement: ServicePlacement, number: int, needs: PlacementRequest, now: float = 0.0) -> str:
    found = placement.place((1, number), needs, (), now)
    assert found is not None
    return found


def test_a_prompt_goes_to_where_its_shared_parts_were_read() -> None:
    placement = _placement()
    home = _place(placement, 1, LONG)
    placement.began((1, 1))
    placement.ended((1, 1), False, 50.0)
    for number in range(2, 12):
        assert _place(placement, number, LONG, 1_000.0 * number) == home
        placement.began((1, number))
        placement.ended((1, number), False, 1_000.0 * number + 40.0)


def test_servers_known_before_the_configuration_get_their_memory_from_it() -> None:
    placement = _placement()
    assert all(load.memory == 300_000 for load in placement._loads.values())
    placement.set_memory(900_000)
    assert all(load.memory == 900_000 for load in placement._loads.values())


def test_a_busy_home_shares_with_others() -> None:
    placement = _placement()
    used = {_place(placement, number, LONG) for number in range(20)}
    assert len(used) > 1


def test_short_prompts_keep_away_from_servers_that_read_long_ones() -> None:
    placement = _placement()
    for number in range(40):
        parts = (("system", 2_500), (f"handbook {number % 5}", 3_800), (f"own {number}", 2_900))
        _place(placement, number, PlacementRequest(parts, 60), 50.0 * number)
        placement.began((1, number))
        placement.ended((1, number), False, 50.0 * number + 40.0)
    recent = {i: load.recently(2_000.0) for i, load in placement._loads.items()}
    found = _place(placement, 1_000, SHORT, 2_000.0)
    assert recent[found] <= min(recent.values()) + 2_000.0


def test_long_prompts_keep_away_from_servers_with_many_short_ones() -> None:
    placement = _placement(2, 40)
    quick = {_place(placement, number, SHORT) for number in range(1)}
    for number in range(2, 22):
        placement.place((1, number), SHORT, {"i-0", "i-1"} - quick, 0.0)
    for number in range(100, 103):
        assert _place(placement, number, LONG, 10.0) not in quick
        placement.began((1, number))
        placement.ended((1, number), False, 10.0)


def test_full_draining_and_avoided_servers_get_nothing() -> None:
    placement = _placement(3, 1)
    placement.follow([_record(0, 1), _record(1, 1), _record(2, 1, "draining")])
    assert {_place(placement, 1, SHORT), _place(placement, 2, SHORT)} == {"i-0", "i-1"}
    assert placement.place((1, 3), SHORT, ("i-0", "i-1"), 0.0) is None


def test_a_server_that_failed_rests() -> None:
    placement = _placement(2)
    home = _place(placement, 1, LONG)
    placement.ended((1, 1), True, 10.0)
    assert _place(placement, 2, LONG, 20.0) != home
    placement.ended((1, 2), False, 30.0)
    assert {_place(placement, n, SHORT, 2_000.0 + n) for n in range(3, 9)} == {"i-0", "i-1"}


def test_a_lost_stream_gives_its_places_back() -> None:
    placement = _placement(2, 1)
    assert {_place(placement, 1, SHORT), _place(placement, 2, SHORT)} == {"i-0", "i-1"}
    placement.stream_lost(1, 10.0)
    assert all(load.out == load.held == load.short == 0 for load in placement._loads.values())


def test_what_is_taken_is_given_back_whatever_the_order() -> None:
    rng = random.Random(5)
    placement = _placement()
    out: list[int] = []
    for number in range(2_000):
        if out and rng.random() < 0.5:
            ended = out.pop(rng.randrange(len(out)))
            if rng.random() < 0.8:
                placement.began((1, ended))
            placement.ended((1, ended), rng.random() < 0.1, float(number))
            placement.ended((1, ended), False, float(number))
        else:
            _place(placement, number, rng.choice((LONG, SHORT)), float(number))
            out.append(number)
        counted = Counter(ticket.server.record.id for ticket in placement._tickets.values())
        for server_id, load in placement._loads.items():
            assert load.out == counted[server_id]
            assert load.unread >= 0.0
            assert load.kept_tokens <= load.memory
    for number in out:
        placement.ended((1, number), False, 1e6)
    assert all(load.out == load.held == load.short == 0 for load in placement._loads.values())
    assert all(load.unread < 1e-6 for load in placement._loads.values())


def test_all_control_planes_name_the_same_owner_and_few_services_move() -> None:
    addresses = [f"10.0.0.{n}:7000" for n in range(5)]
    services = [f"service {n}" for n in range(200)]
    before = {service: owner_of_service(service, addresses) for service in services}
    assert before == {service: owner_of_service(service, addresses[::-1]) for service in services}
    after = {service: owner_of_service(service, addresses[:-1]) for service in services}
    moved = [service for service in services if before[service] != after[service]]
    assert all(before[service] == addresses[-1] for service in moved)
    assert owner_of_service("service", []) is None


def test_what_a_node_chose_by_itself_counts_as_out_there_and_as_kept() -> None:
    placement = _placement()
    placement.chosen((2, 1), LONG, "i-3", 0.0)
    assert placement._loads["i-3"].out == 1
    assert placement._loads["i-3"].kept_tokens == LONG.prompt_tokens
    placement.ended((2, 1), False, 50.0)
    assert placement._loads["i-3"].out == 0
    assert _place(placement, 2, LONG, 1_000.0) == "i-3", "its parts are kept there"
    placement.chosen((2, 3), LONG, "unknown", 60.0)
    placement.ended((2, 3), False, 70.0)


# The node's asking.

CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


NEEDS = ServerRequirements(200.0, prompt_segments=LONG.parts, max_response_tokens=60)


class _Owner:
    """An owner that answers after a while, in virtual time."""

    def __init__(self, answer_ms: float, alive: bool = True) -> None:
        self.answer_ms = answer_ms
        self.is_alive = alive
        self.sent: list[Struct] = []
        self.replicas = Replicas(1, CHAIN, CHAIN, 10)
        self.client = PlacementClient(self)

    def alive(self, _: str) -> bool:
        """Whether it is there."""
        return self.is_alive

    def send(self, address: str, message: Struct) -> bool:
        self.sent.append(message)
        if isinstance(message, Place):
            placed = Placed(message.number, message.service, "i-1")
            loop = asyncio.get_running_loop()
            loop.call_later(self.answer_ms / 1_000.0, self.client.on_placed, address, placed)
        return True

    async def ask(self) -> bool:
        """Ask with an objective of 200 ms; whether advice came in time."""
        now = 1_000.0 * asyncio.get_running_loop().time()
        advised = await self.client.request("pool", NEEDS, (), False, now)
        return isinstance(advised, PlacedRequest)


def test_advice_is_waited_for_a_fifth_of_the_objective() -> None:
    async def play() -> None:
        assert await _Owner(35.0).ask()
        assert not await _Owner(45.0).ask()

    run_virtually(play())


def test_an_owner_that_is_there_is_asked_again_after_a_late_answer_and_one_that_is_gone_is_not() -> None:
    async def play() -> None:
        for alive in (True, False):
            owner = _Owner(45.0, alive)
            assert not await owner.ask()
            owner.answer_ms = 5.0
            assert await owner.ask() == alive
            await asyncio.sleep(0.1)
            ended = [message for message in owner.sent if isinstance(message, PlaceEnded)]
            assert len(ended) == 1, "the late answer is given back"

    run_virtually(play())


def test_a_choice_of_its_own_is_told_and_its_end_too() -> None:
    owner = _Owner(5.0)
    told = owner.client.report_choice("pool", NEEDS, "i-2")
    assert told is not None
    told.finish(False)
    chosen, ended = owner.sent
    assert isinstance(chosen, PlaceChosen)
    assert isinstance(ended, PlaceEnded)
    assert (chosen.server_id, chosen.number) == ("i-2", ended.number)
