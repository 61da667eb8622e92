"""Replies of the admin endpoint."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

JsonObject: TypeAlias = dict[str, Any]


class AdminReply(NamedTuple):
    """An HTTP status, and the object that is the JSON body."""

    status: int
    content: JsonObject


def error_reply(status: int, error: str, **details: object) -> AdminReply:
    """Return the reply to a rejected call."""
    return AdminReply(status, {"error": error, **details})
