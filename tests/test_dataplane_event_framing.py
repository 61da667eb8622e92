"""Framing of server-sent events: only complete events are relayed."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinloft.dataplane.event_framing import MAX_PENDING_BYTES, EventFramer

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


@given(st.integers(0, len(STREAM)), st.integers(1, 40))
def test_end_inside_an_event_is_recognized_at_any_byte(length: int, chunk_size: int) -> None:
    """A stream that a crash had cut inside an event was passed on as complete (review/6)."""
    framer = EventFramer()
    received = STREAM[:length]
    for start in range(0, length, chunk_size):
        framer.feed(received[start : start + chunk_size])
    lines = received.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    assert framer.inside_event == (lines != b"" and not lines.endswith(b"\n\n"))


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["LF", "CRLF", "CR"])
def test_each_kind_of_line_end_separates_events(line_end: bytes) -> None:
    framer = EventFramer()
    event = b"id: 7" + line_end + b"data: x" + line_end
    assert framer.feed(event) == b""
    assert framer.inside_event
    relayed = framer.feed(line_end) + framer.feed(line_end)
    assert (event + line_end).startswith(relayed)
    assert relayed + framer.flush() == event + 2 * line_end
    assert not framer.inside_event
    assert framer.last_event_id == "7"


@pytest.mark.parametrize("separator", [b"\n\n", b"\r\n\r\n"], ids=["LF", "CRLF"])
@pytest.mark.parametrize("cut", range(5))
def test_long_event_is_forwarded_in_parts_until_its_end(separator: bytes, cut: int) -> None:
    """It can't be resumed once a part was forwarded, and its end is found even if that is split."""
    framer = EventFramer()
    event = b"id: 1\ndata: " + b"x" * MAX_PENDING_BYTES + separator
    split = len(event) - min(cut, len(separator))
    relayed = framer.feed(event[:split])
    if split < len(event):
        assert framer.event_partly_forwarded
        assert framer.inside_event
    relayed += framer.feed(event[split:])
    assert relayed == event
    assert not framer.event_partly_forwarded
    assert not framer.inside_event


def test_blank_lines_after_the_last_event_belong_to_no_event() -> None:
    framer = EventFramer()
    assert framer.feed(b"data: x\n\n\n") + framer.flush() == b"data: x\n\n\n"
    framer.feed(b"data: y\n\n")
    framer.feed(b"\n")
    assert not framer.inside_event
