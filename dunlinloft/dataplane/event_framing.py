"""Framing of server-sent events: forwards complete events only.

A client whose stream is resumed at another server must see no partial event and no gap. Only the framing of
the event stream format is parsed (blank lines, `id:` fields); the data is forwarded unchanged.
"""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)

MAX_PENDING_BYTES = 1_048_576  # of an incomplete event; a longer one is forwarded as it arrives


class EventFramer:
    """Splits a byte stream at event boundaries; one instance per relayed stream."""

    def __init__(self) -> None:
        self._pending = b""  # the received part of an incomplete event
        self.last_event_id: str | None = None  # of the events returned so far

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; returns the bytes to forward now, up to the end of a complete event."""
        pending = self._pending + data
        last_separator = max(pending.rfind(b"\n\n"), pending.rfind(b"\n\r\n"))
        if last_separator < 0:
            if len(pending) > MAX_PENDING_BYTES:
                self._pending = b""
                return pending
            self._pending = pending
            return b""
        match = _EVENT_END.search(pending, max(0, last_separator - 1))
        end = match.end() if match is not None else len(pending)
        complete = pending[:end]
        self._pending = pending[end:]
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("utf-8", "replace")
        return complete

    def discard_incomplete(self) -> None:
        """Drop the incomplete event of a broken stream; the resuming server sends it again in full."""
        self._pending = b""

    def flush(self) -> bytes:
        """Return the bytes after the last complete event; called at the regular end of the stream."""
        remainder = self._pending
        self._pending = b""
        return remainder
