"""What a scale run and its processes say to each other: a line of JSON each way, over a pair of sockets.

The processes import this and little else, so that their memory is that of the members.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from msgspec import Struct

MOST_LINE = 64 * 1024 * 1024
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class Hold(Struct, tag=True):
    """Make members by these configurations, each as a node's file has it."""

    members: list[dict[str, Any]]


class Go(Struct, tag=True):
    """Let them join."""


class Look(Struct, tag=True):
    """Say how they are."""


class Drop(Struct, tag=True):
    """End this member without a word: its sockets are closed, as the kernel does for a killed process."""

    name: str


class Holders(Struct, tag=True):
    """Say how many take this member to be there."""

    name: str


class Simulate(Struct, tag=True):
    """Play so many members in virtual time, with so many crashes."""

    size: int
    seed: int
    settle_s: float
    seconds: float
    victims: int


class Death(Struct, array_like=True):
    """A member was called dead in another's view; `at_s` is the machine's monotonic clock."""

    by: str
    name: str
    at_s: float


class Seen(Struct, tag=True):
    """How a process and its members are: `counts` since their start, lateness and deaths since last asked."""

    at_s: float
    members: int
    cpu_s: float
    memory_mb: float
    late_ms: float
    views: list[tuple[str, int]] = []  # of each member: the digest of its view, and how many it holds alive
    counts: dict[str, int] = {}
    deaths: list[Death] = []


class Holding(Struct, tag=True):
    """How many of the members here hold the one asked for."""

    count: int


class Simulated(Struct, tag=True):
    """What virtual time came to."""

    figures: dict[str, float]
    false_deaths: list[tuple[float, str, str]]


Command = Hold | Go | Look | Drop | Holders | Simulate
Answer = Seen | Holding | Simulated

encode = msgspec.json.Encoder().encode
_command = msgspec.json.Decoder(Command)
read_answer = msgspec.json.Decoder(Answer).decode


def memory_mb() -> float:
    """What this process holds in memory."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_MB


async def answer_all(descriptor: int, answer: Callable[[Command], Awaitable[Answer]]) -> None:
    """Answer one command after another until whoever asks has gone."""
    sock = socket.socket(fileno=descriptor)
    reader, writer = await asyncio.open_connection(sock=sock, limit=MOST_LINE)
    while line := await reader.readline():
        writer.write(encode(await answer(_command.decode(line))) + b"\n")
        await writer.drain()
    writer.close()
