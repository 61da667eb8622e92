"""What all systems have in common: messages that may come at any time, in any order, twice, or never."""

from __future__ import annotations

import bisect
import hashlib
from typing import Any, Self, TypeVar

import msgspec

from lab.explore.copying import clone
from lab.explore.search import Move

Sent = tuple[str, str, Any]  # to, from, message
T = TypeVar("T")
encode = msgspec.msgpack.Encoder().encode


class Net:
    """Messages on their way, in an order that says nothing; the same twice is for the moves to make.

    A move names a message by a few digits of its content, so it means the same where others are left out.
    """

    __slots__ = ("_marks", "names", "sent")

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self._marks: list[bytes] = []
        self.names: list[str] = []

    def copy(self) -> Net:
        """Messages themselves are never changed."""
        copy = Net()
        copy.sent, copy._marks, copy.names = self.sent[:], self._marks[:], self.names[:]
        return copy

    def add(self, to: str, sender: str, message: Any) -> None:
        """One more."""
        mark = encode((to, sender, message))
        at = bisect.bisect_left(self._marks, mark)
        if at == len(self._marks) or self._marks[at] != mark:
            self._marks.insert(at, mark)
            self.sent.insert(at, (to, sender, message))
            self.names.insert(at, hashlib.blake2b(mark, digest_size=5).hexdigest())

    def moves(self, copies: bool) -> list[Move]:
        """Each message may come; while there are copies to be had it may come and come again."""
        found: list[Move] = [("deliver", name) for name in self.names]
        return found + ([("copy", name) for name in self.names] if copies else [])

    def take(self, move: Move) -> Sent:
        """The message that comes by this move."""
        at = self.names.index(move[1])
        if move[0] == "copy":
            return self.sent[at]
        del self._marks[at], self.names[at]
        return self.sent.pop(at)

    def marks(self) -> list[bytes]:
        """What tells the messages apart."""
        return self._marks

    def tell(self, move: Move) -> str:
        """A message that comes, as a person reads it."""
        to, sender, message = self.sent[self.names.index(move[1])]
        return f"{'again ' if move[0] == 'copy' else ''}{sender} to {to}: {shown(message)}"


class Explored:
    """The state of a system: what is in its dicts is never changed in place, but replaced by a clone.

    Each system adds its processes. `marks` are kept of those that have not changed since.
    """

    def __init__(self) -> None:
        self.net = Net()
        self.copies = 0
        self.marks: dict[str, Any] = {}
        self.broken = ""

    def copy(self) -> Self:
        """A state that shares all processes, and nothing that holds them."""
        copy = object.__new__(type(self))
        for name, value in self.__dict__.items():
            copied = value.copy() if isinstance(value, dict | list | Net) else value
            copy.__dict__[name] = copied
        return copy

    def changing(self, processes: dict[str, T], name: str) -> T:
        """One of its processes, as one that may be changed."""
        process: T = clone(processes[name])
        processes[name] = process
        self.marks.pop(name, None)
        return process

    def take(self, move: Move) -> Sent:
        """The message that comes by this move."""
        self.copies += move[0] == "copy"
        return self.net.take(move)


class Told:
    """What all systems say alike of a state and of a move."""

    def broken(self, state: Explored) -> str:
        """What must hold and does not."""
        return state.broken

    def tell(self, state: Explored, move: Move) -> str:
        """A move as a person reads it."""
        return state.net.tell(move) if move[0] in ("deliver", "copy") else " ".join(map(str, move))


def shown(message: Any) -> str:
    """A message as a person reads it."""
    fields = ", ".join(f"{name}={getattr(message, name)!r:.40}" for name in message.__struct_fields__)
    return f"{type(message).__name__}({fields})"
