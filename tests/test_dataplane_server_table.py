"""The server table: servers merged from the listings of several control-plane replicas."""

from __future__ import annotations

import random

import pytest

from dunlinloft.coordination.digests import RANGE_COUNT, RangeDigests, range_of
from dunlinloft.coordination.server_tombstones import RETENTION_MS
from dunlinloft.coordination.stream import ServerUpdates
from dunlinloft.dataplane.server_table import RECENT_RESPONSE_MS, ServerTable
from tests.server_records import server_record

ALL = tuple(range(RANGE_COUNT))


@pytest.fixture
def table() -> ServerTable:
    """A table that knows no server."""
    return ServerTable(random.Random(1))


def _timed_out(*server_ids: str) -> ServerUpdates:
    """Return the update of a replica whose servers' heartbeats stopped."""
    return ServerUpdates((), server_ids, server_ids)


def test_timed_out_server_is_removed_once_no_replica_lists_it(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1), server_record(2)))
    table.on_listing("other", True, ALL, (server_record(1),))
    table.on_update("one", _timed_out("i-1", "i-2"), 0.0)
    assert set(table.pool("pool").servers) == {"i-1"}
    table.on_update("other", _timed_out("i-1"), 0.0)
    assert not table.pool("pool").servers


def test_server_without_heartbeats_is_kept_as_long_as_it_responds(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1), server_record(2), server_record(3)))
    servers = table.pool("pool").servers
    for server in servers.values():
        server.on_sent("a", 900.0)
    servers["i-1"].on_response("a", 1_000.0)
    servers["i-3"].on_response("a", 1_000.0)
    # The third server has deregistered; the second has sent no response.
    table.on_update("one", ServerUpdates((), ("i-1", "i-2", "i-3"), ("i-1", "i-2")), 1_500.0)
    assert set(servers) == {"i-1"}
    servers["i-1"].on_response("b", 2_000.0)
    table.expire_unlisted(2_000.0 + RECENT_RESPONSE_MS)
    assert set(servers) == {"i-1"}
    table.expire_unlisted(2_001.0 + RECENT_RESPONSE_MS)
    assert not servers


def test_unlisted_server_that_is_reported_again_is_listed_again(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1),))
    table.pool("pool").servers["i-1"].on_response("a", 1_000.0)
    table.on_update("one", ServerUpdates((), ("i-1",), ("i-1",)), 1_500.0)
    table.on_update("other", ServerUpdates((server_record(1, 9),), ()), 1_600.0)
    table.expire_unlisted(60_000.0)
    assert set(table.pool("pool").servers) == {"i-1"}
    table.on_update("other", ServerUpdates((), ("i-1",)), 61_000.0)
    assert not table.pool("pool").servers


def test_incomplete_listing_of_a_restarted_replica_removes_nothing(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1), server_record(2)))
    table.on_stream_lost("one", 0.0)
    table.on_listing("one", False, ALL, (server_record(1, 5),))
    assert set(table.pool("pool").servers) == {"i-1", "i-2"}
    table.on_listing("one", True, ALL, (server_record(1, 6),))
    assert set(table.pool("pool").servers) == {"i-1"}


def test_listing_of_a_lost_stream_expires_only_if_another_stream_is_up(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1),))
    table.on_stream_lost("one", 0.0)
    table.expire_lost_listings(1_000.0, 5_000.0)
    assert table.pool("pool").servers
    table.on_listing("other", True, ALL, (server_record(2),))
    table.expire_lost_listings(1_000.0, 6_000.0)
    assert set(table.pool("pool").servers) == {"i-2"}


def test_ranges_that_are_not_sent_count_as_listed(table: ServerTable) -> None:
    records = [server_record(number) for number in range(200)]
    current = [*records[1:], server_record(500)]
    table.on_listing("one", True, ALL, tuple(records))
    remote = RangeDigests(current)
    ranges = remote.differing_ranges(table.digests())
    assert set(ranges) == {range_of("i-0"), range_of("i-500")}
    sent = tuple(record for record in current if range_of(record.id) in ranges)
    assert len(sent) < 20
    table.on_listing("other", True, ranges, sent)
    table.on_update("one", _timed_out(*(record.id for record in records)), 0.0)
    assert set(table.pool("pool").servers) == {record.id for record in current}
    assert remote.differing_ranges(table.digests()) == ()
    assert len(remote.differing_ranges(())) == RANGE_COUNT


def test_complete_listing_of_a_restarted_replica_removes_servers_missing_from_it(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1), server_record(2), server_record(3)))
    table.on_stream_lost("one", 0.0)
    table.on_listing("one", False, ALL, (server_record(1),))
    table.on_update("one", ServerUpdates((server_record(2, 9),), ()), 0.0)
    table.on_complete("one")
    assert set(table.pool("pool").servers) == {"i-1", "i-2"}


def test_draining_state_is_kept_whichever_replica_reports_it_first(table: ServerTable) -> None:
    table.on_listing("one", True, ALL, (server_record(1, 4, "draining"),))
    table.on_listing("other", True, ALL, (server_record(1, 3),))
    assert table.pool("pool").servers["i-1"].record.draining


def test_deregistered_server_is_removed_from_the_listings_of_lost_streams(table: ServerTable) -> None:
    """Guards against a deregistered server that stays in use because a lost replica still lists it.

    In a run with seed 2116, such a listing kept the server for 4.8 s.
    """
    for replica in ("lost", "one"):
        table.on_listing(replica, True, ALL, (server_record(1), server_record(2)))
    table.on_stream_lost("lost", 0.0)
    table.on_update("one", ServerUpdates((), ("i-1", "i-2"), ("i-2",)), 100.0)
    assert set(table.pool("pool").servers) == {"i-2"}, "i-2 only missed heartbeats"


def test_deregistered_server_is_removed_although_a_connected_replica_lists_it(table: ServerTable) -> None:
    """Such a replica has not been notified, or its stream is dead without the node knowing it yet."""
    for replica in ("one", "other"):
        table.on_listing(replica, True, ALL, (server_record(1), server_record(2)))
    table.on_update("one", ServerUpdates((), ("i-1",)), 100.0)
    assert set(table.pool("pool").servers) == {"i-2"}


def test_deregistered_server_is_not_brought_back_by_a_replica_that_was_down(table: ServerTable) -> None:
    """Guards against requests to a server that left, after the restart of a control plane (review/2)."""
    table.on_listing("one", True, ALL, (server_record(1), server_record(2)))
    table.on_update("one", ServerUpdates((), ("i-1",)), 100.0)
    for complete in (False, True):
        table.on_listing("restarted", complete, ALL, (server_record(1), server_record(2)))
        table.on_update("restarted", ServerUpdates((server_record(1, 9),), ()), 200.0)
        assert set(table.pool("pool").servers) == {"i-2"}
    table.on_update("restarted", _timed_out("i-1", "i-2"), 300.0)
    assert set(table.pool("pool").servers) == {"i-2"}, "the first replica still lists it"


def test_deregistered_server_that_still_responds_is_removed(table: ServerTable) -> None:
    """Its heartbeats had stopped at all replicas, so that it was kept for its responses alone."""
    table.on_listing("one", True, ALL, (server_record(1),))
    table.pool("pool").servers["i-1"].on_response("a", 1_000.0)
    table.on_update("one", _timed_out("i-1"), 1_500.0)
    assert set(table.pool("pool").servers) == {"i-1"}
    table.on_deregistered(("i-1",), 1_600.0)
    assert not table.pool("pool").servers


def test_deregistration_is_forgotten_after_its_retention(table: ServerTable) -> None:
    table.on_deregistered(("i-1",), 0.0)
    table.expire_tombstones(RETENTION_MS)
    table.on_listing("one", True, ALL, (server_record(1),))
    assert not table.pool("pool").servers
    table.expire_tombstones(RETENTION_MS + 1.0)
    table.on_listing("one", True, ALL, (server_record(1),))
    assert set(table.pool("pool").servers) == {"i-1"}
