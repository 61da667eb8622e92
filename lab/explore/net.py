"""Common base of explored systems: messages may be delivered at any time, in any order, twice or never."""

from __future__ import annotations

import bisect
import hashlib
from typing import Any, Self, TypeVar

import msgspec

from lab.explore.copying import clone
from lab.explore.search import Move

Envelope = tuple[str, str, Any]  # to, from, message
T = TypeVar("T")
encode = msgspec.msgpack.Encoder().encode


class Net:
    """Messages in transit, as a sorted set; duplicates are produced by moves.

    A move identifies a message by a short hash of its content, so it stays valid if others are removed.
    """

    __slots__ = ("_marks", "names", "sent")

    def __init__(self) -> None:
        self.sent: list[Envelope] = []
        self._marks: list[bytes] = []
        self.names: list[str] = []

    def copy(self) -> Net:
        """Return a copy that shares the messages, which are never changed."""
        copy = Net()
        copy.sent, copy._marks, copy.names = self.sent[:], self._marks[:], self.names[:]
        return copy

    def add(self, to: str, sender: str, message: Any) -> None:
        """Add a message unless an equal one is in transit."""
        encoded_message = encode((to, sender, message))
        at = bisect.bisect_left(self._marks, encoded_message)
        if at == len(self._marks) or self._marks[at] != encoded_message:
            self._marks.insert(at, encoded_message)
            self.sent.insert(at, (to, sender, message))
            self.names.insert(at, hashlib.blake2b(encoded_message, digest_size=5).hexdigest())

    def moves(self, copies: bool) -> list[Move]:
        """Return a delivery move per message and, if `copies` is set, a duplicating one."""
        found: list[Move] = [("deliver", name) for name in self.names]
        return found + ([("copy", name) for name in self.names] if copies else [])

    def take(self, move: Move) -> Envelope:
        """Return the message that a move delivers; removes it unless the move duplicates it."""
        at = self.names.index(move[1])
        if move[0] == "copy":
            return self.sent[at]
        del self._marks[at], self.names[at]
        return self.sent.pop(at)

    def marks(self) -> list[bytes]:
        """Return the encoded messages, in order."""
        return self._marks

    def describe(self, move: Move) -> str:
        """Describe the delivery of a message."""
        to, sender, message = self.sent[self.names.index(move[1])]
        return f"{'again ' if move[0] == 'copy' else ''}{sender} to {to}: {describe_message(message)}"


class Explored:
    """The state of a system; values in its dicts are never changed in place but replaced by clones.

    Each system adds its processes. `marks` caches the fingerprints of unchanged processes.
    """

    def __init__(self) -> None:
        self.net = Net()
        self.copies = 0
        self.marks: dict[str, Any] = {}
        self.broken = ""

    def copy(self) -> Self:
        """Return a copy that shares the processes, but not the containers that hold them."""
        copy = object.__new__(type(self))
        for name, value in self.__dict__.items():
            copied = value.copy() if isinstance(value, dict | list | Net) else value
            copy.__dict__[name] = copied
        return copy

    def changing(self, processes: dict[str, T], name: str) -> T:
        """Replace a process by a clone that may be changed, and return it."""
        process: T = clone(processes[name])
        processes[name] = process
        self.marks.pop(name, None)
        return process

    def take(self, move: Move) -> Envelope:
        """Return the message that a move delivers, and count duplicates."""
        self.copies += move[0] == "copy"
        return self.net.take(move)


class ExploredSystem:
    """Base class of systems: reporting of violations and moves."""

    def broken(self, state: Explored) -> str:
        """Return the violated invariant of a state, or ""."""
        return state.broken

    def describe(self, state: Explored, move: Move) -> str:
        """Describe a move."""
        return state.net.describe(move) if move[0] in ("deliver", "copy") else " ".join(map(str, move))


def describe_message(message: Any) -> str:
    """Describe a message."""
    fields = ", ".join(f"{name}={getattr(message, name)!r:.40}" for name in message.__struct_fields__)
    return f"{type(message).__name__}({fields})"
