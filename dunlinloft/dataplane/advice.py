"""Asks a service's owner which server a request should go to, and tells it how the request fares."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Collection
from dataclasses import dataclass

from msgspec import Struct

from dunlinloft.coordination.placement import owner_of_service
from dunlinloft.coordination.stream import (
    Place,
    PlaceBegan,
    PlaceChosen,
    Placed,
    PlaceEnded,
)
from dunlinloft.dataplane.servers import ServerNeeds
from dunlinloft.dataplane.streams import ControlStreams

ASK_LEAST_MS, ASK_SHARE = 20.0, 0.2  # of the objective: so long an answer is waited for; then the node picks
SILENT_MS = 250.0  # an owner that is not there and did not answer isn't asked during so long


@dataclass(frozen=True, slots=True)
class Wait:
    """No place is free for a patient request; ask again after so long."""

    wait_ms: float


class Advised:
    """A request that the owner counts as out at the server that it named."""

    def __init__(self, advice: Advice, owner: str, service: str, number: int, server_id: str) -> None:
        self._advice = advice
        self._owner = owner
        self._service = service
        self._number = number
        self.server_id = server_id
        self._open = True

    def began(self) -> None:
        """Its first word came."""
        if self._open:
            self._advice.tell(self._owner, PlaceBegan(self._service, self._number))

    def ended(self, failed: bool) -> None:
        """It is no longer out; only the first call counts."""
        if self._open:
            self._open = False
            self._advice.tell(self._owner, PlaceEnded(self._service, self._number, failed))


class Advice:
    """This node's side of placement."""

    def __init__(self, streams: ControlStreams) -> None:
        self._streams = streams
        self._waiting: dict[int, asyncio.Future[Placed]] = {}
        self._numbers = itertools.count(1)
        self._silent_until_ms: dict[str, float] = {}

    def tell(self, owner: str, message: Struct) -> None:
        """Tell an owner; if it is gone, it has forgotten the request already."""
        self._streams.send(owner, message)

    def on_placed(self, source: str, message: Placed) -> None:
        """An owner's answer; one that comes too late is given back."""
        future = self._waiting.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)
        elif message.server_id:
            self._streams.send(source, PlaceEnded(message.service, message.number, False))

    def _owner(self, service: str) -> str | None:
        replicas = self._streams.replicas
        return None if replicas is None else owner_of_service(service, replicas.chain)

    def chose(self, service: str, needs: ServerNeeds, server_id: str) -> Advised | None:
        """Tell the owner which server the node chose itself; None where there is no owner to tell."""
        owner = self._owner(service)
        if owner is None:
            return None
        number = next(self._numbers)
        chosen = PlaceChosen(number, service, needs.parts, needs.answer_tokens, server_id)
        if not self._streams.send(owner, chosen):
            return None
        return Advised(self, owner, service, number, server_id)

    async def ask(
        self,
        service: str,
        needs: ServerNeeds,
        avoided: Collection[str],
        patient: bool,
        now_ms: float,
    ) -> Advised | Wait | None:
        """The server that a request should go to; None where there is no advice in time."""
        owner = self._owner(service)
        if owner is None or now_ms < self._silent_until_ms.get(owner, 0.0):
            return None
        number = next(self._numbers)
        future: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            place = Place(number, service, needs.parts, needs.answer_tokens, tuple(avoided), patient)
            if not self._streams.send(owner, place):
                return None
            async with asyncio.timeout(max(ASK_LEAST_MS, ASK_SHARE * needs.aim_ms) / 1_000.0):
                placed = await future
        except TimeoutError:
            if not self._streams.alive(owner):
                self._silent_until_ms[owner] = now_ms + SILENT_MS
            return None
        finally:
            self._waiting.pop(number, None)
        if placed.server_id:
            return Advised(self, owner, service, number, placed.server_id)
        return Wait(placed.wait_ms) if placed.wait_ms else None
