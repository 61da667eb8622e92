"""Messages between a scale run and its processes: one line of JSON each way, over a socket pair.

The processes import this module and little else, so that their memory is mostly that of the members.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from msgspec import Struct

MAX_LINE_BYTES = 64 * 1024 * 1024
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class Hold(Struct, tag=True):
    """Create members with these configurations, in the format of a node's configuration file."""

    members: list[dict[str, Any]]


class Go(Struct, tag=True):
    """Let the members join."""


class Look(Struct, tag=True):
    """Report the state of the members."""


class Drop(Struct, tag=True):
    """Crash a member: close its sockets without notice, as the kernel does for a killed process."""

    name: str


class Holders(Struct, tag=True):
    """Report how many members consider this member alive."""

    name: str


class Simulate(Struct, tag=True):
    """Simulate this many members in virtual time, with this many crashes."""

    size: int
    seed: int
    settle_s: float
    seconds: float
    victims: int


class Death(Struct, array_like=True):
    """A member was declared dead in the view of `by`; `at_s` is the machine's monotonic clock."""

    by: str
    name: str
    at_s: float


class Seen(Struct, tag=True):
    """State of a process and its members; `late_ms` and `deaths` since the last report, `counts` in total."""

    at_s: float
    members: int
    cpu_s: float
    memory_mb: float
    late_ms: float
    views: list[tuple[str, int]] = []  # by member: digest of its view and number of live members in it
    counts: dict[str, int] = {}
    deaths: list[Death] = []


class Holding(Struct, tag=True):
    """The number of members in the process that consider the requested member alive."""

    count: int


class Simulated(Struct, tag=True):
    """The results of a simulation in virtual time."""

    figures: dict[str, float]
    false_deaths: list[tuple[float, str, str]]


Command = Hold | Go | Look | Drop | Holders | Simulate
Answer = Seen | Holding | Simulated

encode = msgspec.json.Encoder().encode
_command_decoder = msgspec.json.Decoder(Command)
read_answer = msgspec.json.Decoder(Answer).decode


def memory_mb() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_MB


async def answer_all(descriptor: int, answer: Callable[[Command], Awaitable[Answer]]) -> None:
    """Answer commands until the connection is closed."""
    sock = socket.socket(fileno=descriptor)
    reader, writer = await asyncio.open_connection(sock=sock, limit=MAX_LINE_BYTES)
    while line := await reader.readline():
        writer.write(encode(await answer(_command_decoder.decode(line))) + b"\n")
        await writer.drain()
    writer.close()
