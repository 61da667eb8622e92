"""The divergence watch, a duty: who has disagreed with whom about the fleet's members, and for how long.

Whoever holds it asks all members for the digests of their views, a part of them each second, so that what
one member pays stays flat in the fleet's size and the holder's cost is one message a member and round.
"""

from __future__ import annotations

from dataclasses import dataclass

DUTY = "divergence-watch"
ROUND_MS = 3_000.0  # all members are asked once in so long
OLD_MS = 3.0 * ROUND_MS  # what was heard longer ago says nothing


@dataclass(slots=True)
class Group:
    """Members that hold the same view."""

    digest: int
    members: list[str]
    since_ms: float  # when this view was first heard, by the holder's clock


class Watch:
    """What its holder has gathered."""

    def __init__(self) -> None:
        self.token = 0
        self._heard: dict[str, tuple[int, float]] = {}  # by member: digest and when
        self._first: dict[int, float] = {}  # by digest: when it was first heard
        self._left: list[str] = []

    def on_start(self, token: int, state: bytes) -> None:
        """The duty is ours: what there is to know is gathered anew within a round."""
        self._heard, self._first, self._left, self.token = {}, {}, [], token

    def on_stop(self) -> None:
        """It is another's."""
        self.token = 0

    def ask(self, members: list[str], step_ms: float) -> list[str]:
        """Whom to ask now, if this is called every `step_ms`."""
        if not self._left:
            self._left = list(members)
        count = max(1, round(len(members) * step_ms / ROUND_MS))
        asked, self._left = self._left[:count], self._left[count:]
        return asked

    def hear(self, name: str, digest: int, now: float) -> None:
        """A member's view, as its messages tell."""
        if self.token:
            self._heard[name] = digest, now
            self._first.setdefault(digest, now)

    def groups(self, now: float) -> list[Group]:
        """Members by their view, the largest group first."""
        found: dict[int, Group] = {}
        for name, (digest, at) in sorted(self._heard.items()):
            if now - at <= OLD_MS:
                found.setdefault(digest, Group(digest, [], self._first[digest])).members.append(name)
        self._first = {digest: at for digest, at in self._first.items() if digest in found}
        self._heard = {name: told for name, told in self._heard.items() if now - told[1] <= OLD_MS}
        return sorted(found.values(), key=lambda group: (-len(group.members), group.since_ms))
