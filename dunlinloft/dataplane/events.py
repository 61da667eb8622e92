"""Streams of events: cut into whole ones, so that a stream can go on at another server without a gap."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)

MOST_EVENT = 1_048_576  # bytes held back for the end of an event


class EventCutter:
    """Takes bytes as they come; gives back whole events."""

    def __init__(self) -> None:
        self._held = b""
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Bytes that end with an event's end, to be passed on now."""
        held = self._held + data
        end = max(held.rfind(b"\n\n"), held.rfind(b"\n\r\n"))
        if end < 0:
            if len(held) > MOST_EVENT:
                self._held = b""
                return held
            self._held = held
            return b""
        match = _END.search(held, max(0, end - 1))
        cut = match.end() if match is not None else len(held)
        whole, self._held = held[:cut], held[cut:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("utf-8", "replace")
        return whole

    def restart(self) -> None:
        """What is held of a broken event is dropped: its successor comes whole from another server."""
        self._held = b""

    def rest(self) -> bytes:
        """What follows the last whole event once the stream has ended properly."""
        rest, self._held = self._held, b""
        return rest
