"""Tests of placement: the choice of a server for each request of a service."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from dunlinloft.coordination.placement.demand import PlacementDemand
from dunlinloft.coordination.placement.directory import placement_owner_address
from dunlinloft.coordination.placement.service import PlacementId, ServicePlacement
from dunlinloft.coordination.stream import ServerRecord

LONG_PROMPT = PlacementDemand((("system", 2_500), ("handbook", 3_800), ("own", 2_900)), 60)
SHORT_PROMPT = PlacementDemand((("greeting", 50), ("rider", 30), ("own", 140)), 4_000)
KV_CACHE_TOKENS = 300_000


def _server_record(number: int, capacity: int = 12, state: str = "ready") -> ServerRecord:
    return ServerRecord(f"i-{number}", "pool", f"10.0.0.{number}:80", "a", capacity, state, 1)


def _make_service(servers: int = 6, capacity: int = 12) -> ServicePlacement:
    service = ServicePlacement(random.Random(1))
    service.update_servers(_server_record(n, capacity) for n in range(servers))
    service.set_kv_cache_tokens(KV_CACHE_TOKENS)
    return service


@pytest.fixture
def service() -> ServicePlacement:
    """A service with six servers, each with a capacity of twelve requests."""
    return _make_service()


def _placement_id(number: int, stream: int = 1) -> PlacementId:
    return PlacementId(stream, number)


def _assign(service: ServicePlacement, number: int, demand: PlacementDemand, now: float = 0.0) -> str:
    server_id = service.assign(_placement_id(number), demand, (), now)
    assert server_id is not None
    return server_id


def test_prompt_is_assigned_to_the_server_that_caches_its_prefix(service: ServicePlacement) -> None:
    affinity_server = _assign(service, 1, LONG_PROMPT)
    service.on_prefill_completed(_placement_id(1))
    service.on_completed(_placement_id(1), False, 50.0)
    for number in range(2, 12):
        assert _assign(service, number, LONG_PROMPT, 1_000.0 * number) == affinity_server
        service.on_prefill_completed(_placement_id(number))
        service.on_completed(_placement_id(number), False, 1_000.0 * number + 40.0)


def test_configured_kv_cache_memory_applies_to_known_servers(service: ServicePlacement) -> None:
    assert all(load.kv_cache_tokens == KV_CACHE_TOKENS for load in service._loads.values())
    service.set_kv_cache_tokens(900_000)
    assert all(load.kv_cache_tokens == 900_000 for load in service._loads.values())


def test_busy_affinity_server_shares_load_with_others(service: ServicePlacement) -> None:
    used = {_assign(service, number, LONG_PROMPT) for number in range(20)}
    assert len(used) > 1


def test_short_prompts_avoid_servers_with_recent_long_prefill(service: ServicePlacement) -> None:
    for number in range(40):
        segments = (("system", 2_500), (f"handbook {number % 5}", 3_800), (f"own {number}", 2_900))
        _assign(service, number, PlacementDemand(segments, 60), 50.0 * number)
        service.on_prefill_completed(_placement_id(number))
        service.on_completed(_placement_id(number), False, 50.0 * number + 40.0)
    recent = {i: load.recent_long_prefill.value(2_000.0) for i, load in service._loads.items()}
    server_id = _assign(service, 1_000, SHORT_PROMPT, 2_000.0)
    assert recent[server_id] <= min(recent.values()) + 2_000.0


def test_long_prompts_avoid_servers_with_many_short_prompts() -> None:
    service = _make_service(2, 40)
    short_prompt_servers = {_assign(service, 0, SHORT_PROMPT)}
    for number in range(2, 22):
        service.assign(_placement_id(number), SHORT_PROMPT, {"i-0", "i-1"} - short_prompt_servers, 0.0)
    for number in range(100, 103):
        assert _assign(service, number, LONG_PROMPT, 10.0) not in short_prompt_servers
        service.on_prefill_completed(_placement_id(number))
        service.on_completed(_placement_id(number), False, 10.0)


def test_full_draining_and_excluded_servers_are_not_assigned() -> None:
    service = _make_service(3, 1)
    service.update_servers([_server_record(0, 1), _server_record(1, 1), _server_record(2, 1, "draining")])
    assert {_assign(service, 1, SHORT_PROMPT), _assign(service, 2, SHORT_PROMPT)} == {"i-0", "i-1"}
    assert service.assign(_placement_id(3), SHORT_PROMPT, ("i-0", "i-1"), 0.0) is None


def test_failed_server_is_avoided_temporarily() -> None:
    service = _make_service(2)
    affinity_server = _assign(service, 1, LONG_PROMPT)
    service.on_completed(_placement_id(1), True, 10.0)
    assert _assign(service, 2, LONG_PROMPT, 20.0) != affinity_server
    service.on_completed(_placement_id(2), False, 30.0)
    assert {_assign(service, n, SHORT_PROMPT, 2_000.0 + n) for n in range(3, 9)} == {"i-0", "i-1"}


def _assert_nothing_in_flight(service: ServicePlacement) -> None:
    for load in service._loads.values():
        assert load.in_flight == load.reserved_tokens == load.short_prompts_in_flight == 0


def test_lost_stream_releases_its_capacity() -> None:
    service = _make_service(2, 1)
    assert {_assign(service, 1, SHORT_PROMPT), _assign(service, 2, SHORT_PROMPT)} == {"i-0", "i-1"}
    service.on_stream_lost(1, 10.0)
    _assert_nothing_in_flight(service)


def test_reservations_are_released_in_any_order(service: ServicePlacement) -> None:
    rng = random.Random(5)
    in_flight: list[int] = []
    for number in range(2_000):
        if in_flight and rng.random() < 0.5:
            completed = in_flight.pop(rng.randrange(len(in_flight)))
            if rng.random() < 0.8:
                service.on_prefill_completed(_placement_id(completed))
            service.on_completed(_placement_id(completed), rng.random() < 0.1, float(number))
            service.on_completed(_placement_id(completed), False, float(number))
        else:
            _assign(service, number, rng.choice((LONG_PROMPT, SHORT_PROMPT)), float(number))
            in_flight.append(number)
        counted = Counter(request.server.record.id for request in service._in_flight.values())
        for server_id, load in service._loads.items():
            assert load.in_flight == counted[server_id]
            assert load.pending_prefill_tokens >= 0.0
            assert load.prefix_cache.cached_tokens <= load.kv_cache_tokens
    for number in in_flight:
        service.on_completed(_placement_id(number), False, 1e6)
    _assert_nothing_in_flight(service)
    assert all(load.pending_prefill_tokens < 1e-6 for load in service._loads.values())


def test_owner_is_independent_of_address_order_and_few_services_move() -> None:
    addresses = [f"10.0.0.{n}:7000" for n in range(5)]
    services = [f"service {n}" for n in range(200)]
    before = {service: placement_owner_address(service, addresses) for service in services}
    assert before == {service: placement_owner_address(service, addresses[::-1]) for service in services}
    after = {service: placement_owner_address(service, addresses[:-1]) for service in services}
    moved = [service for service in services if before[service] != after[service]]
    assert all(before[service] == addresses[-1] for service in moved)
    assert placement_owner_address("service", []) is None


def test_local_placement_counts_as_in_flight_and_cached(service: ServicePlacement) -> None:
    service.on_local_placement(_placement_id(1, stream=2), LONG_PROMPT, "i-3", 0.0)
    assert service._loads["i-3"].in_flight == 1
    assert service._loads["i-3"].prefix_cache.cached_tokens == LONG_PROMPT.prompt_tokens
    service.on_completed(_placement_id(1, stream=2), False, 50.0)
    assert service._loads["i-3"].in_flight == 0
    assert _assign(service, 2, LONG_PROMPT, 1_000.0) == "i-3", "the segments are cached there"
    service.on_local_placement(_placement_id(3, stream=2), LONG_PROMPT, "unknown", 60.0)
    service.on_completed(_placement_id(3, stream=2), False, 70.0)
