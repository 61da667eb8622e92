"""What happened in a day, one record each: what the oracle, the figures and the logs are made from.

Both hosts write the same records. `at` is in milliseconds since the day began. In a log each record is
one line of JSON whose `kind` is its type's name in lower case.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct

CLOSED, UNREACHED, SILENT = 0, -1, -2  # in place of a status: ended without one, never reached, nothing


class Record(Struct, tag_field="kind", tag=str.lower, gc=False):
    """Something that happened."""

    at: float


class Asked(Record):
    """A caller has written a request's last byte to a node."""

    id: str
    node: str
    cls: str
    budget_ms: float
    origin: str  # `callers`, or the server whose node this is
    key: str = ""
    tenant: str = ""


class Answered(Record):
    """A caller has its answer: a status, or one of `CLOSED`, `UNREACHED` and `SILENT`.

    `maker` is the server whose mark the body bears; "" where there is none.
    """

    id: str
    node: str
    status: int
    maker: str = ""


class Left(Record):
    """A caller has closed its connection before the answer."""

    id: str
    node: str


class Arrived(Record):
    """An attempt's last byte has come to a server; its first was sent at `began`."""

    id: str
    node: str
    server: str
    began: float


class Ended(Record):
    """A server is done with an attempt: `served`, `error`, `turned` (never ran) or `dropped`."""

    id: str
    server: str
    how: str


class Told(Record):
    """News of the list has reached a node: name, status, and the time of its start (0: long ago)."""

    node: str
    index: int
    whole: bool
    entries: list[tuple[str, str, float]]


class Process(Record):
    """A process `started`, is `ready`, was sent a signal (`kill`, `term`, `stop`, `cont`, `hup`), `ended`."""

    node: str
    what: str
    code: int = 0


class Faulted(Record):
    """A fault begins or ends; `whom` are the nodes and servers that it touches."""

    name: str
    on: bool
    whom: list[str]
    text: str = ""


class Started(Record):
    """A server has started, cold; `Fell` says that it was pushed over."""

    server: str


class Fell(Record):
    """A cold server got more than it could take, and is down."""

    server: str


class Closed(Record):
    """A caller's work is over, with all its tries: `in_time`, `late`, `refused`, `failed`, `lost`, `left`."""

    cls: str
    outcome: str
    delay_ms: float
    tries: int
    tenant: str = ""
    node: str = ""


class Belief(Record):
    """What a process believed and used: figures by name."""

    node: str
    figures: dict[str, float]


class Broke(Record):
    """Bytes or actions that break the published protocol."""

    who: str
    what: str


class Late(Record):
    """The lab itself, or a node's process, got its turn so much late: verdicts on time allow for it."""

    who: str
    late_ms: float


Sink = Callable[[Any], None]

_encode = msgspec.json.Encoder().encode


def line(record: Record) -> bytes:
    """The record as a line of JSON."""
    return _encode(record) + b"\n"
