"""Which view is wanted: the difference between it and the view in force is what gets proposed.

The roster (who votes) changes by exchange: a newcomer takes the place of a member that is leaving, that is
gone, or that was its own address's former disk. It grows and shrinks so that its size stays odd: an even
roster bears no more losses than the odd one below it, and stops at the second loss once one member is gone.
The chain (who holds the state) is the largest group of roster members that hear one another.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dunlinloft.coordination.liveness import Liveness
from dunlinloft.coordination.messages import Member, Ping, View

REPLACE_AFTER_MS = 1_000.0  # silent for so long, a roster member gives its place to a newcomer
SHRINK_AFTER_MS = 3_000.0  # and where there are too many, leaves the roster without one


@dataclass(frozen=True, slots=True)
class Observation:
    """What one replica knows when it plans the next view."""

    view: View
    me: Member
    pings: dict[str, Ping]  # by member, its own included
    liveness: Liveness
    tolerance: int  # how many replicas may be lost at once
    entered_ms: float  # when the view in force was learned
    now_ms: float

    @property
    def least(self) -> int:
        """The smallest roster that bears the losses promised."""
        return 2 * self.tolerance + 1

    def leaving(self, member: Member) -> bool:
        """Whether a member says that its process ends."""
        return member.id in self.pings and self.pings[member.id].leaving

    def healthy(self, member: Member) -> bool:
        """Whether a member's disk answers."""
        return member.id in self.pings and self.pings[member.id].healthy

    def silent_ms(self, member: Member) -> float:
        """How long a member has been heard by nobody who is heard here."""
        if self.liveness.reachable(member.id, self.now_ms):
            return 0.0
        return self.liveness.silent_ms(member.id, self.now_ms, self.entered_ms)

    def complete(self) -> frozenset[str]:
        """Those who hold all that was acknowledged: since before this view, or found equal in it."""
        first = {member.id for member in self.view.chain[: self.view.complete]}
        found = {m.id for m in self.view.chain if self._synced(m)}
        return frozenset(first | found)

    def may_testify(self) -> bool:
        """Whether this replica can make sure that the epoch commits nothing: it is behind in its chain."""
        behind = bool(self.view.place(self.me.id)) and self.me.id not in self.complete()
        return behind and bool(self.view.outside)

    def _synced(self, member: Member) -> bool:
        return member.id in self.pings and self.pings[member.id].synced_epoch == self.view.epoch


def may_commit(chain: Sequence[Member], tolerance: int) -> bool:
    """Whether a chain is long enough to commit anything: a shorter one would only drop who is complete."""
    return len(chain) > tolerance


def wanted_view(seen: Observation) -> View | None:
    """The view that should follow; None where nothing is to change, or nothing can be done."""
    view = seen.view
    roster = _roster(seen)
    complete = seen.complete()
    chain = _chain(seen, roster, complete)
    witness = ""
    if not chain and seen.may_testify():
        complete = frozenset(member.id for member in view.outside)
        chain = _chain(seen, roster, complete)
        witness = seen.me.id
    if not may_commit(chain, seen.tolerance):
        return None
    first_behind = next((n for n, m in enumerate(chain) if m.id not in complete), len(chain))
    if first_behind == 0:
        return None
    if tuple(chain) == view.chain and set(roster) == set(view.roster):
        return None
    held = view.outside if witness else view.chain
    outside = tuple(m for m in held if m in roster and m.id in complete and m not in chain)
    return View(view.epoch + 1, tuple(roster), tuple(chain), first_behind, outside, witness)


# The roster.


def _roster(seen: Observation) -> list[Member]:
    newcomers = _newcomers(seen)
    addresses = {member.address for member in newcomers}
    returned = {member.address for member in seen.view.roster} & addresses
    roster = [member for member in seen.view.roster if member.address not in returned]
    roster += [member for member in newcomers if member.address in returned]
    others = [member for member in newcomers if member.address not in returned]
    roster, others = _exchanged(seen, roster, others)
    roster += others[: _growth(len(roster), len(others), seen.least)]
    return _shrunk(seen, roster)


def _newcomers(seen: Observation) -> list[Member]:
    voters = seen.view.voters()
    found = [
        ping.sender
        for member_id, ping in seen.pings.items()
        if member_id not in voters
        and ping.counts
        and ping.healthy
        and not ping.leaving
        and seen.liveness.steady(member_id, seen.now_ms)
    ]
    return sorted(found, key=lambda member: member.id)


def _going(seen: Observation, roster: Sequence[Member], silent_ms: float) -> list[Member]:
    """Members that are leaving, or were silent for so long; who is gone for longest first."""
    going = [m for m in roster if seen.leaving(m) or seen.silent_ms(m) > silent_ms]
    return sorted(going, key=lambda m: (-seen.silent_ms(m), m.id))


def _exchanged(
    seen: Observation, roster: list[Member], newcomers: list[Member]
) -> tuple[list[Member], list[Member]]:
    """The roster with newcomers in the places of those who go; and the newcomers that are left."""
    going = _going(seen, roster, REPLACE_AFTER_MS)[: len(newcomers)]
    kept = [member for member in roster if member not in going]
    return kept + newcomers[: len(going)], newcomers[len(going) :]


def _growth(size: int, newcomers: int, least: int) -> int:
    """How many newcomers join: all while there are too few, else so that the size is odd."""
    missing = min(newcomers, max(0, least - size))
    size += missing
    further = newcomers - missing
    return missing + (further if (size + further) % 2 else max(0, further - 1))


def _shrunk(seen: Observation, roster: list[Member]) -> list[Member]:
    """The roster without those who go, as long as enough are left and the size is odd."""
    going = _going(seen, roster, SHRINK_AFTER_MS)
    most = min(len(going), max(0, len(roster) - seen.least))
    number = next((n for n in range(most, 0, -1) if (len(roster) - n) % 2), 0)
    gone = going[:number]
    return [member for member in roster if member not in gone]


# The chain.


def _chain(seen: Observation, roster: list[Member], complete: frozenset[str]) -> list[Member]:
    """The chain: of those who stay and are well; of others only where too few hold what was acknowledged."""
    candidates = _candidates(seen, roster, complete)
    staying = _clique(seen, candidates, complete, lambda m: seen.healthy(m) and not seen.leaving(m))
    if _copies(staying, complete) > seen.tolerance:
        return staying
    with_leaving = _clique(seen, candidates, complete, seen.healthy)
    best = max(staying, with_leaving, key=lambda chain: _copies(chain, complete))
    return best or _clique(seen, candidates, complete, lambda _: True)


def _copies(chain: list[Member], complete: frozenset[str]) -> int:
    return sum(member.id in complete for member in chain)


def _candidates(seen: Observation, roster: list[Member], complete: frozenset[str]) -> list[Member]:
    """Members that are heard: the complete ones in their order, then those behind, then newcomers.

    A leaver that the roster lets go may stay in the chain until others hold what it holds.
    """
    members = [m for m in seen.view.chain if m in roster or seen.leaving(m)]
    members += [m for m in roster if m not in members]
    heard = [m for m in members if _heard(seen, m)]
    return [m for m in heard if m.id in complete] + [m for m in heard if m.id not in complete]


def _heard(seen: Observation, member: Member) -> bool:
    in_chain = seen.view.place(member.id) is not None
    test = seen.liveness.hears if in_chain else seen.liveness.steady
    return member.id in seen.pings and test(member.id, seen.now_ms)


def _clique(
    seen: Observation, members: list[Member], complete: frozenset[str], fit: Callable[[Member], bool]
) -> list[Member]:
    """Members that all hear one another, the first of them complete; of equal ones, the earliest stays."""
    able = [member for member in members if fit(member)]
    links = {member.id: _links(seen, member, able) for member in able}
    best: list[Member] = []
    for start in able:
        if start.id not in complete:
            continue
        clique = _grown(start, able, links)
        if len(clique) > len(best):
            best = [member for member in able if member.id in clique]
        if len(best) == len(able):
            break
    return best


def _links(seen: Observation, one: Member, others: list[Member]) -> set[str]:
    """Who hears a member and is heard by it."""
    return {other.id for other in others if seen.liveness.linked(one.id, other.id, seen.now_ms)}


def _grown(start: Member, able: list[Member], links: dict[str, set[str]]) -> set[str]:
    """Members that all hear one another, from one on, the earlier ones first."""
    clique = {start.id}
    allowed = links[start.id]
    for member in able:
        if member.id in allowed and member.id not in clique:
            clique.add(member.id)
            allowed = allowed & links[member.id]
    return clique
