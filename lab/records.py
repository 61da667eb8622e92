"""Records of the events of a run, from which the oracle, the figures and the logs are derived.

Both hosts write the same records. `at` is in milliseconds since the start of the run. In a log each record is
one line of JSON whose `kind` is the type's name in lower case.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct

CLOSED, UNREACHED, SILENT = 0, -1, -2  # in place of a status: connection closed, node not reached, no answer


class Record(Struct, tag_field="kind", tag=str.lower, gc=False):
    """Base class of all records."""

    at: float


class Asked(Record):
    """A caller has sent the last byte of a request to a node."""

    id: str
    node: str
    cls: str
    budget_ms: float
    origin: str  # `callers`, or the server that runs beside the node
    key: str = ""
    tenant: str = ""


class Answered(Record):
    """A caller has received its answer: a status, or one of `CLOSED`, `UNREACHED` and `SILENT`.

    `maker` is the server named in the body; "" if there is none.
    """

    id: str
    node: str
    status: int
    maker: str = ""


class Left(Record):
    """A caller has closed its connection before receiving an answer."""

    id: str
    node: str


class Arrived(Record):
    """The last byte of an attempt has arrived at a server; the first byte was sent at `began`."""

    id: str
    node: str
    server: str
    began: float


class Ended(Record):
    """A server has finished an attempt: `served`, `error`, `turned` (rejected, never ran) or `dropped`."""

    id: str
    server: str
    how: str


class Told(Record):
    """A node has received a server list update; entries are name, status and start time (0: long ago)."""

    node: str
    index: int
    whole: bool
    entries: list[tuple[str, str, float]]


class Process(Record):
    """A process `started`, is `ready`, got a signal (`kill`, `term`, `stop`, `cont`, `hup`) or `ended`."""

    node: str
    what: str
    code: int = 0


class Faulted(Record):
    """A fault begins or ends; `whom` lists the affected nodes and servers."""

    name: str
    on: bool
    whom: list[str]
    text: str = ""


class Started(Record):
    """A server has started cold."""

    server: str


class Fell(Record):
    """A cold server was overloaded and went down."""

    server: str


class Closed(Record):
    """An arrival has its final outcome: `in_time`, `late`, `refused`, `failed`, `lost` or `left`."""

    cls: str
    outcome: str
    delay_ms: float
    tries: int
    tenant: str = ""
    node: str = ""


class Belief(Record):
    """A process's view of the system and its resource usage: figures by name."""

    node: str
    figures: dict[str, float]


class Broke(Record):
    """Bytes or actions that violate the published protocol."""

    who: str
    what: str


class Late(Record):
    """The lab or a node's process was scheduled late by `late_ms`; time limits are extended by that."""

    who: str
    late_ms: float


Sink = Callable[[Any], None]

_encode = msgspec.json.Encoder().encode


def line(record: Record) -> bytes:
    """Encode a record as a line of JSON."""
    return _encode(record) + b"\n"
