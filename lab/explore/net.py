"""What all systems have in common: messages that may come at any time, in any order, twice, or never."""

from __future__ import annotations

import bisect
import hashlib
from typing import Any

import msgspec

from lab.explore.search import Move

Sent = tuple[str, str, Any]  # to, from, message
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


def shown(message: Any) -> str:
    """A message as a person reads it."""
    fields = ", ".join(f"{name}={getattr(message, name)!r:.40}" for name in message.__struct_fields__)
    return f"{type(message).__name__}({fields})"
