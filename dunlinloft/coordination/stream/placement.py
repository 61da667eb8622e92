"""Placement messages between a node and the control plane that advises on a service."""

from __future__ import annotations

from msgspec import Struct, field


class PlacementQuery(Struct, frozen=True, tag="place"):
    """From a node: requests advice on which server a request should go to.

    Attributes
    ----------
    request_id
        Identifies the request on this stream, here and in later messages.
    prompt_segments
        Name and tokens of each segment of the prompt, in order.
    max_output_tokens
        Tokens that its output may take.
    excluded_servers
        Ids of servers that it must not go to.
    wait_for_capacity
        The request is late anyway, and waits rather than being rejected by a full server.
    """

    request_id: int = field(name="number")
    service: str
    prompt_segments: tuple[tuple[str, int], ...] = field(name="parts")
    max_output_tokens: int = field(name="answer_tokens")
    excluded_servers: tuple[str, ...] = field(name="avoided")
    wait_for_capacity: bool = field(default=False, name="patient")


class PlacementReply(Struct, frozen=True, tag="placed"):
    """To a node: the reply to `PlacementQuery`.

    `server_id` is empty where no server is advised; `wait_ms` is then the time after which to query anew,
    or 0 where that is of no use.
    """

    request_id: int = field(name="number")
    service: str
    server_id: str
    wait_ms: float = 0.0


class LocalPlacement(Struct, frozen=True, tag="place_chosen"):
    """From a node: it chose a server itself, without timely advice; the request counts as placed there."""

    request_id: int = field(name="number")
    service: str
    prompt_segments: tuple[tuple[str, int], ...] = field(name="parts")
    max_output_tokens: int = field(name="answer_tokens")
    server_id: str


class PrefillCompleted(Struct, frozen=True, tag="place_began"):
    """From a node: the first output of a placed request arrived, so its prompt has been processed."""

    service: str
    request_id: int = field(name="number")


class PlacementCompleted(Struct, frozen=True, tag="place_ended"):
    """From a node: a placed request is no longer in flight."""

    service: str
    request_id: int = field(name="number")
    server_failed: bool = field(name="failed")
