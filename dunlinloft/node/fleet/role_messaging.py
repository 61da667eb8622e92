"""What the host of the fleet's leases uses of its surroundings, and writes to the state table."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Protocol

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.leases import messages as leases
from dunlinloft.fleet.membership.core import Membership

FIRST_INTERNAL_ID = 1 << 32  # of writes of parts of the process; those of operators have smaller numbers


class Scheduler(Protocol):
    """What calls something later: an event loop, or virtual time."""

    def call_later(self, delay: float, callback: Callable[..., None], /, *args: object) -> object:
        """After so many seconds."""


class MemberMessaging(Protocol):
    """This process among the members, as leases need it."""

    counts: dict[str, int]

    @property
    def core(self) -> Membership:
        """Its membership."""

    def send_to_member(self, name: str, content: leases.Message, /) -> None:
        """Say something to a member, or to itself."""

    def handle(self, event: api.Event, /) -> None:
        """Give its membership an event."""

    def request_view(self, name: str, /) -> None:
        """Have a member say which view it holds."""


class TableWrites:
    """Rows that parts of this process have the table keep."""

    def __init__(self, handle: Callable[[leases.Event], None]) -> None:
        self._handle, self._numbers = handle, count(FIRST_INTERNAL_ID)
        self._open: dict[int, Callable[[bool], None]] = {}
        self._rejections: dict[int, str] = {}

    def write(self, key: str, value: bytes, done: Callable[[bool], None]) -> str:
        """Have a row kept; "" where it is on its way and `done` will be told, else why not."""
        number = next(self._numbers)
        self._open[number] = done
        self._handle(leases.WriteRequested(key, value, number))
        rejection = self._rejections.pop(number, "")
        if rejection:
            del self._open[number]
        return rejection

    def on_completed(self, action: leases.WriteCompleted) -> bool:
        """How one ended; False where it is none of these."""
        if action.request_id not in self._open:
            return False
        if action.rejection:
            self._rejections[action.request_id] = action.rejection
        else:
            self._open.pop(action.request_id)(action.committed)
        return True
