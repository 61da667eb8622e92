"""Interfaces that the host of the fleet's leases depends on, and writes to the state table."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Protocol

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.leases import messages as leases
from dunlinloft.fleet.membership.core import Membership

FIRST_INTERNAL_ID = 1 << 32  # of writes by this process itself; writes by operators have smaller ids


class Scheduler(Protocol):
    """Schedules callbacks: an event loop, or virtual time."""

    def call_later(self, delay: float, callback: Callable[..., None], /, *args: object) -> object:
        """Call back after a delay in seconds."""


class MemberMessaging(Protocol):
    """Messaging between members, as leases need it."""

    counts: dict[str, int]

    @property
    def core(self) -> Membership:
        """The membership of this process."""

    def send_to_member(self, name: str, content: leases.Message, /) -> None:
        """Send a message to a member, or to this process itself."""

    def handle(self, event: api.Event, /) -> None:
        """Pass an event to the membership."""

    def request_view(self, name: str, /) -> None:
        """Ask a member for the digest of its view."""


class TableWrites:
    """Writes of rows to the state table by this process itself."""

    def __init__(self, handle: Callable[[leases.Event], None]) -> None:
        self._handle, self._request_ids = handle, count(FIRST_INTERNAL_ID)
        self._pending: dict[int, Callable[[bool], None]] = {}
        self._rejections: dict[int, str] = {}

    def write(self, key: str, value: bytes, done: Callable[[bool], None]) -> str:
        """Begin to write a row; return "" if `done` will be called with the outcome, else the rejection."""
        request_id = next(self._request_ids)
        self._pending[request_id] = done
        self._handle(leases.WriteRequested(key, value, request_id))
        rejection = self._rejections.pop(request_id, "")
        if rejection:
            del self._pending[request_id]
        return rejection

    def on_completed(self, action: leases.WriteCompleted) -> bool:
        """Handle the end of a write; False if it is not one of these writes."""
        if action.request_id not in self._pending:
            return False
        if action.rejection:
            self._rejections[action.request_id] = action.rejection
        else:
            self._pending.pop(action.request_id)(action.committed)
        return True
