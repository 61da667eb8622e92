"""A client's request after it was read and matched to a route, and the requirements in its headers."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from dunlinloft.configuration import Tenant
from dunlinloft.dataplane.header_numbers import token_count
from dunlinloft.dataplane.http_headers import PROMPT_SEGMENTS_HEADER, TOKEN_USAGE_HEADER
from dunlinloft.dataplane.routing import ActiveRoute
from dunlinloft.dataplane.server_pool import PromptSegment, ServerRequirements

# Values of the `type` of a route.
STREAMING = "streaming"
SAFE = "safe"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that was read completely and admitted. Times are milliseconds of the monotonic clock."""

    http: BaseRequest
    method: str
    target: str  # path and query as received
    body: bytes
    active_route: ActiveRoute
    tenant: Tenant | None
    arrived_ms: float
    deadline_ms: float
    waited_before_ms: float  # how long the client had waited before this attempt

    @property
    def latency_target_ms(self) -> float:
        """The route's target for the latency of a response."""
        return self.active_route.route.target_latency_ms

    @property
    def streaming(self) -> bool:
        """Whether the response is a stream of events."""
        return self.active_route.route.type == STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        route = self.active_route.route
        return route.type == SAFE or (self.streaming and route.resumable)

    @property
    def priority(self) -> int:
        """The priority, 0 being most urgent; the tenant's takes precedence over the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.active_route.route.priority

    def waited_ms(self, now_ms: float) -> float:
        """How long the client has waited, summed over all its attempts."""
        return self.waited_before_ms + now_ms - self.arrived_ms

    def requirements(self) -> ServerRequirements:
        """What the request requires of its server; malformed headers are ignored."""
        header = self.http.headers.get(PROMPT_SEGMENTS_HEADER)
        if header is None:
            return ServerRequirements(self.latency_target_ms)
        try:
            segments = tuple(_prompt_segment(text) for text in header.split(","))
            max_output_tokens = token_count(
                self.http.headers.get(TOKEN_USAGE_HEADER, "0,0").partition(",")[2]
            )
        except ValueError:
            return ServerRequirements(self.latency_target_ms)
        if len(segments) < 2:
            return ServerRequirements(self.latency_target_ms, None, 0, segments, max_output_tokens)
        # The last segment is specific to this request; the ones before it are shared with other requests.
        shared_tokens = sum(tokens for _, tokens in segments[:-1])
        return ServerRequirements(
            self.latency_target_ms, segments[-2][0], shared_tokens, segments, max_output_tokens
        )


def _prompt_segment(text: str) -> PromptSegment:
    """Parse one segment. Raises `ValueError`, also for a name that can't be encoded for the owner."""
    name, _, tokens = text.partition(":")
    name.encode()
    return name.strip(), token_count(tokens)
