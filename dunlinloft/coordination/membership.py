"""Which view is wanted: the difference between it and the view in force is what gets proposed."""

from __future__ import annotations

from collections.abc import Sequence

from dunlinloft.coordination.liveness import Liveness
from dunlinloft.coordination.messages import Member, Ping, View

REPLACE_AFTER_MS = 1_000.0  # silent for so long, a roster member gives its place to a newcomer
SHRINK_AFTER_MS = 3_000.0  # and one too many leaves the roster


def wanted_view(
    view: View, me: Member, mine: Ping, liveness: Liveness, tolerance: int, entered_ms: float, now_ms: float
) -> View | None:
    """The view that should follow; None where nothing is to change, or nothing can be done.

    `tolerance` is how many replicas may be lost at once; `entered_ms` is when the view in force was learned.
    """
    pings = {member_id: peer.ping for member_id, peer in liveness.peers.items()}
    pings[me.id] = mine
    complete = {member.id for member in view.chain[: view.complete]}
    complete |= {m.id for m in view.chain if m.id in pings and pings[m.id].synced_epoch == view.epoch}
    survivors = [member for member in view.chain if member.id in complete]
    newcomers = _newcomers(view, pings, liveness, now_ms)
    behind = [member for member in view.chain if member.id not in complete]
    behind += [member for member in view.roster if view.place(member.id) is None]

    def fit(member: Member) -> bool:
        in_chain = view.place(member.id) is not None
        steady = liveness.hears(member.id, now_ms) if in_chain else liveness.steady(member.id, now_ms)
        return steady and member.id in pings and pings[member.id].healthy

    able = [member for member in [*survivors, *behind, *newcomers] if fit(member)]
    chain = _largest_clique(able, complete, liveness, now_ms)
    if not chain:
        return None
    joined = [member for member in newcomers if member in chain]
    roster = _roster(view, joined, liveness, tolerance, entered_ms, now_ms)
    chain = [member for member in chain if member in roster]
    first_behind = next((n for n, m in enumerate(chain) if m.id not in complete), len(chain))
    if first_behind == 0:
        return None
    if tuple(chain) == view.chain and set(roster) == set(view.roster):
        return None
    return View(view.epoch + 1, tuple(roster), tuple(chain), first_behind)


def _newcomers(view: View, pings: dict[str, Ping], liveness: Liveness, now_ms: float) -> list[Member]:
    roster = view.voters()
    found = [
        ping.sender
        for member_id, ping in pings.items()
        if member_id not in roster and ping.counts and liveness.steady(member_id, now_ms)
    ]
    return sorted(found, key=lambda member: member.id)


def _largest_clique(
    able: Sequence[Member], complete: set[str], liveness: Liveness, now_ms: float
) -> list[Member]:
    """Members that all hear one another, the first of them complete; of equal ones, the earliest stays."""
    best: list[Member] = []
    for start in able:
        if start.id not in complete:
            continue
        clique = [start]
        for member in able:
            if member is not start and all(liveness.linked(member.id, c.id, now_ms) for c in clique):
                clique.append(member)
        if len(clique) > len(best):
            best = [member for member in able if member in clique]
    return best


def _roster(
    view: View,
    joined: list[Member],
    liveness: Liveness,
    tolerance: int,
    entered_ms: float,
    now_ms: float,
) -> list[Member]:
    """The roster with those who join; a former life at their address leaves, and the dead over the least."""
    least = 2 * tolerance + 1
    addresses = {member.address for member in joined}
    roster = [member for member in view.roster if member.address not in addresses] + joined
    limit = REPLACE_AFTER_MS if joined else SHRINK_AFTER_MS
    dead = sorted(
        (liveness.silent_ms(member.id, now_ms, entered_ms), member.id)
        for member in roster
        if member not in joined
    )
    for silent_ms, member_id in reversed(dead):
        if len(roster) <= least or silent_ms <= limit or liveness.reachable(member_id, now_ms):
            break
        roster = [member for member in roster if member.id != member_id]
    return roster
