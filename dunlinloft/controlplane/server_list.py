"""What servers say of themselves, as one control plane takes it and passes it on.

A heartbeat is acknowledged only by a replica that hears a majority of the roster: one that is cut off, or
was frozen, says 503, and the server asks the next. That a server leaves is acknowledged once a majority of
the roster has it in memory: any node that is in touch hears of it from one of these.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import Struct

from dunlinloft.controlplane.distribution import Distribution
from dunlinloft.coordination.agreement import majority_of
from dunlinloft.coordination.messages import View
from dunlinloft.coordination.placement import Placements
from dunlinloft.coordination.registry import Registry
from dunlinloft.coordination.stream import Beats, BeatsTaken, ServerNews, ServerRecord
from dunlinloft.transport.clock import now_ms

ANNOUNCE_S = 0.8  # for others to take what a server said; it waits a second
ANNOUNCE_AGAIN_S = 0.15  # what was not taken by then is sent again


@dataclass(slots=True)
class _Announcement:
    """That a server leaves, on its way to a majority."""

    view: View
    takers: set[str]  # addresses
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def taken(self, address: str) -> None:
        """A replica has it."""
        self.takers.add(address)
        if sum(member.address in self.takers for member in self.view.roster) >= majority_of(self.view):
            self.done.set()


class ServerList:
    """The servers, between their calls, the nodes and the other control planes.

    `contact` gives the view while this replica hears a majority of its roster; `peers` all control planes.
    """

    def __init__(
        self,
        address: str,
        registry: Registry,
        distribution: Distribution,
        placements: Placements,
        contact: Callable[[], View | None],
        peers: Callable[[], set[str]],
        send: Callable[[str, Struct], None],
    ) -> None:
        self._address = address
        self._registry = registry
        self._distribution = distribution
        self._placements = placements
        self._contact = contact
        self._peers = peers
        self._send = send
        self._numbers = itertools.count(1)
        self._announcements: dict[int, _Announcement] = {}
        self._announced: set[str] = set()  # servers of which a majority knows that they leave

    async def beat(self, record: ServerRecord) -> bool:
        """Take a heartbeat; whether it may be acknowledged."""
        self._registry.beat(record, now_ms())
        self.flush()
        view = self._contact()
        if view is None:
            return False
        if not record.draining or record.id in self._announced:
            return True
        return await self._announce(view, record.id, Beats((record,), ()))

    async def leave(self, server_id: str) -> bool:
        """A server said that it ends; whether that may be acknowledged."""
        self._registry.leave(server_id, now_ms())
        self.flush()
        view = self._contact()
        if view is None:
            return False
        return await self._announce(view, server_id, Beats((), (server_id,)))

    async def _announce(self, view: View, server_id: str, beats: Beats) -> bool:
        """Have a majority of the roster take it."""
        number = next(self._numbers)
        announcement = self._announcements[number] = _Announcement(view, set())
        announcement.taken(self._address)
        message = Beats(beats.records, beats.gone, self._address, number)
        try:
            async with asyncio.timeout(ANNOUNCE_S):
                while not announcement.done.is_set():
                    await self._send_once(announcement, message)
        except TimeoutError:
            return False
        finally:
            del self._announcements[number]
        self._announced.add(server_id)
        return True

    async def _send_once(self, announcement: _Announcement, message: Beats) -> None:
        for member in announcement.view.roster:
            if member.address not in announcement.takers:
                self._send(member.address, message)
        try:
            async with asyncio.timeout(ANNOUNCE_AGAIN_S):
                await announcement.done.wait()
        except TimeoutError:
            return

    def on_beats(self, message: Beats) -> None:
        """Another control plane heard servers."""
        now = now_ms()
        for record in message.records:
            self._registry.beat(record, now, relayed=True)
        for server_id in message.gone:
            self._registry.leave(server_id, now, relayed=True)
        self.flush()
        if message.number:
            self._send(message.sender, BeatsTaken(self._address, message.number))

    def on_taken(self, message: BeatsTaken) -> None:
        """Another control plane has what was announced."""
        announcement = self._announcements.get(message.number)
        if announcement is not None:
            announcement.taken(message.sender)

    def flush(self) -> None:
        """Tell nodes and other control planes what changed."""
        changed, gone = self._registry.take_news()
        if changed or gone:
            self._announced &= self._registry.records.keys()
            self._distribution.server_news(ServerNews(changed, gone, self._registry.take_silent()))
            self._placements.follow(self._registry.records.values())
            self.relay()

    def relay(self) -> None:
        """Tell other control planes which servers were heard here."""
        records, gone = self._registry.take_beats()
        if records or gone:
            message = Beats(records, gone)
            for address in self._peers():
                self._send(address, message)
