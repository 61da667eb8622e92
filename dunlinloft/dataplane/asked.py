"""A client's request as it was read, and what its headers tell of what it needs."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from dunlinloft.configuration import Tenant
from dunlinloft.dataplane.routing import Way
from dunlinloft.dataplane.servers import Wish

STREAMING = "streaming"
DEADLINE_HEADER = "X-Deadline-Ms"


@dataclass(frozen=True, slots=True)
class Asked:
    """A request that was read whole and may be served. Times are of the steady clock."""

    request: BaseRequest
    method: str
    target: str  # path and query as they came
    body: bytes
    way: Way
    tenant: Tenant | None
    arrived_ms: float
    ends_ms: float
    waited_ms: float  # by the client, before this try

    @property
    def aim_ms(self) -> float:
        """The time within which its answer earns its whole worth."""
        return self.way.route.target_latency_ms

    @property
    def streaming(self) -> bool:
        """Whether its answer is a series of events."""
        return self.way.route.type == STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        route = self.way.route
        return route.type == "safe" or (self.streaming and route.resumable)

    @property
    def priority(self) -> int:
        """Its rank, 0 being highest; a tenant's goes before the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.way.route.priority

    def client_waited_ms(self, now_ms: float) -> float:
        """How long the client has waited, over all its tries."""
        return self.waited_ms + now_ms - self.arrived_ms

    def wish(self) -> Wish:
        """What it needs of its server, as its headers tell."""
        text = self.request.headers.get("X-Prompt-Prefix")
        if text is None:
            return Wish(self.aim_ms)
        try:
            parts = tuple(_part(part) for part in text.split(","))
            answer = int(self.request.headers.get("X-Token-Usage", "0,0").partition(",")[2])
        except ValueError:
            return Wish(self.aim_ms)
        before_last = sum(size for _, size in parts[:-1])
        shared = (parts[-2][0], before_last) if len(parts) > 1 else None
        return Wish(self.aim_ms, shared, parts, answer)


def _part(text: str) -> tuple[str, int]:
    name, _, size = text.partition(":")
    return name.strip(), int(size)
