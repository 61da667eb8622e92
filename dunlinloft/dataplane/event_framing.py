"""Framing of server-sent events: forwards complete events only.

A client whose stream is resumed at another server must see no partial event and no gap. Only the framing of
the event stream format is parsed (blank lines, `id:` fields); the data is forwarded unchanged. A line ends
with CRLF, LF or CR, as in the HTML standard, section 9.2.5.
"""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
# A blank line at the end of some bytes, which are empty or follow another event.
_ENDS_WITH_BLANK_LINE = re.compile(rb"(?:\A|\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)\Z")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")

MAX_PENDING_BYTES = 1_048_576  # of an incomplete event; a longer one is forwarded as it arrives
_MAX_SEPARATOR_PREFIX_BYTES = 3  # of a received separator whose last byte is still missing


class EventFramer:
    """Splits a byte stream at event boundaries; one instance per relayed stream."""

    def __init__(self) -> None:
        self._pending = b""  # the received part of an incomplete event
        self.last_event_id: str | None = None  # of the events returned so far
        self.event_partly_forwarded = False  # a part of an incomplete event was returned, as it is too long

    @property
    def inside_event(self) -> bool:
        """Whether the received bytes end inside an event, so that more of the stream must follow."""
        if not self._pending:
            return self.event_partly_forwarded
        return self.event_partly_forwarded or _ENDS_WITH_BLANK_LINE.search(self._pending) is None

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; returns the bytes to forward now, up to the end of a complete event."""
        pending = self._pending + data
        last_separator = max(pending.rfind(b"\n\n"), pending.rfind(b"\n\r\n"), pending.rfind(b"\r\r"))
        if last_separator < 0:
            return self._hold_back(pending)
        match = _EVENT_END.search(pending, max(0, last_separator - 1))
        end = match.end() if match is not None else len(pending)
        complete = pending[:end]
        self._pending = pending[end:]
        self.event_partly_forwarded = False
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("utf-8", "replace")
        return complete

    def _hold_back(self, incomplete: bytes) -> bytes:
        """Keep an incomplete event; of one that is too long, return all but the start of a separator."""
        if len(incomplete) <= MAX_PENDING_BYTES:
            self._pending = incomplete
            return b""
        self._pending = incomplete[-_MAX_SEPARATOR_PREFIX_BYTES:]
        self.event_partly_forwarded = True
        return incomplete[:-_MAX_SEPARATOR_PREFIX_BYTES]

    def discard_incomplete(self) -> None:
        """Drop the incomplete event of a broken stream; the resuming server sends it again in full."""
        self._pending = b""

    def flush(self) -> bytes:
        """Return the bytes after the last complete event; called at the regular end of the stream."""
        remainder = self._pending
        self._pending = b""
        return remainder
