"""Join and rejoin: finding members that this view lacks.

A process that starts exchanges states with a seed. The sides of a partition find each other after it has
healed by pinging dead members. Islands that never knew each other have no dead to ping, so the attempts at
seeds that are not in view never end.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.membership.state_exchange import StateExchange
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import MetadataValue, Ping

JOIN_BACKOFF_MS = 500.0  # first wait between attempts to join while alone; doubles
MAX_JOIN_BACKOFF_MS = 4_000.0
REJOIN_INTERVAL_MS = 10_000.0  # between attempts at seeds that are not in view, once there are others
DEAD_PROBE_INTERVAL_MS = 1_000.0  # in which a member pings at most one dead member
# Pings that each dead member gets in that interval from all members together, about: enough that one
# arrives soon after a partition heals, and no more the larger the fleet.
DEAD_PROBES_PER_INTERVAL = 20.0


class Rejoin(StateExchange):
    """Pulls the state of absent seeds, and pings members that are dead by this view."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        self._join_backoff_ms = JOIN_BACKOFF_MS / 2.0
        self._members_at_seeds: set[str] = set()  # names of members that were found at a seed's address

    def _rejoin(self) -> None:
        """Exchange states with a seed that is not in view: with backoff while alone, later now and then."""
        seeds = self._unreached_seeds()
        if seeds and not self.muted:
            self.actions.append(api.PushPull(self.rng.choice(seeds), self.state()))
        # Whoever is alone may have joined by a seed that died since; and a few may be an island.
        alone = not len(self.view.alive)
        doubled_ms = min(MAX_JOIN_BACKOFF_MS, 2.0 * self._join_backoff_ms)
        self._join_backoff_ms = doubled_ms if alone else REJOIN_INTERVAL_MS
        self.set_timer(self._join_backoff_ms * (0.5 + self.rng.random()), TimerKind.REJOIN)

    def _unreached_seeds(self) -> list[str]:
        """Seeds at whose address no member in view is."""
        members = self.view.members
        reached = {members[name].address for name in self._members_at_seeds if name in self.view.alive}
        absent = [seed for seed in self._seeds if seed != self.address and seed not in reached]
        if absent:  # a member that has appeared at one of them is known by its name from now on
            found = {m.name for m in members.values() if m.is_alive() and m.address in absent}
            self._members_at_seeds |= found
            reached = {members[name].address for name in found}
        return [seed for seed in absent if seed not in reached]

    def _probe_dead(self) -> None:
        """Ping a random dead member: so the sides of a healed partition find each other."""
        dead = self.view.dead
        # All members draw, so that together they send about `DEAD_PROBES_PER_INTERVAL` pings to each.
        is_drawn = self.rng.random() * self.alive_count() < DEAD_PROBES_PER_INTERVAL * len(dead)
        for name in dead.sample(1) if is_drawn else ():
            member = self.view.members[name]
            records = [member.to_record(include_metadata=False)]
            self.send_datagram(member.address, Ping(self.header(), 0, name, records))
        self.set_timer(DEAD_PROBE_INTERVAL_MS * (0.5 + self.rng.random()), TimerKind.PROBE_DEAD)
