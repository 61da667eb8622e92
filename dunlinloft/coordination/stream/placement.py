"""Placement messages between a node and the control plane that owns a service's placement."""

from __future__ import annotations

from msgspec import Struct, field


class PlacementQuery(Struct, frozen=True, tag="place"):
    """From a node: requests a recommendation for the server of a request.

    Attributes
    ----------
    request_id
        Identifies the request on this stream, in this message and later ones.
    prompt_segments
        Name and token count of each segment of the prompt, in order.
    max_output_tokens
        Maximum number of output tokens.
    excluded_servers
        Ids of servers that must not be recommended.
    wait_for_capacity
        Whether the request, which is late anyway, waits rather than being rejected by a full server.
    """

    request_id: int = field(name="number")
    service: str
    prompt_segments: tuple[tuple[str, int], ...] = field(name="parts")
    max_output_tokens: int = field(name="answer_tokens")
    excluded_servers: tuple[str, ...] = field(name="avoided")
    wait_for_capacity: bool = field(default=False, name="patient")


class PlacementReply(Struct, frozen=True, tag="placed"):
    """To a node: the reply to `PlacementQuery`.

    `server_id` is empty if no server is recommended; `wait_ms` is then the delay before the next query, or 0
    if another query is of no use.
    """

    request_id: int = field(name="number")
    service: str
    server_id: str
    wait_ms: float = 0.0


class LocalPlacement(Struct, frozen=True, tag="place_chosen"):
    """From a node: without a timely reply it chose a server itself; the request counts as placed there."""

    request_id: int = field(name="number")
    service: str
    prompt_segments: tuple[tuple[str, int], ...] = field(name="parts")
    max_output_tokens: int = field(name="answer_tokens")
    server_id: str


class PrefillCompleted(Struct, frozen=True, tag="place_began"):
    """From a node: the first output of a placed request arrived, so the prompt has been processed."""

    service: str
    request_id: int = field(name="number")


class PlacementCompleted(Struct, frozen=True, tag="place_ended"):
    """From a node: a placed request is no longer in flight."""

    service: str
    request_id: int = field(name="number")
    server_failed: bool = field(name="failed")
