"""Framing of server-sent events: only complete events are relayed."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from dunlinloft.dataplane.event_framing import EventFramer

STREAM = b"".join(b"id: %d\r\ndata: piece %d\r\n\r\n" % (n, n) for n in range(4)) + b"id: 4\ndata: x\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_only_complete_events_are_relayed_for_any_chunk_boundaries(boundaries: list[int]) -> None:
    framer = EventFramer()
    relayed = b""
    offsets = [0, *sorted(boundaries), len(STREAM)]
    for start, end in itertools.pairwise(offsets):
        relayed += framer.feed(STREAM[start:end])
        assert relayed == b"" or relayed.endswith((b"\n\n", b"\r\n\r\n"))
        assert STREAM.startswith(relayed)
    assert relayed + framer.flush() == STREAM
    assert framer.last_event_id == "4"


def test_incomplete_event_is_dropped_when_another_server_resumes() -> None:
    framer = EventFramer()
    assert framer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    framer.discard_incomplete()
    assert framer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert framer.last_event_id == "2"
