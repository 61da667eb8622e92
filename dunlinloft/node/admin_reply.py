"""What a call at the admin endpoint is answered with."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

JsonObject: TypeAlias = dict[str, Any]


class AdminReply(NamedTuple):
    """An HTTP status, and the object that is sent as JSON."""

    status: int
    content: JsonObject


def error_reply(status: int, problem: str, **details: object) -> AdminReply:
    """Return the reply to a call that is refused."""
    return AdminReply(status, {"error": problem, **details})
