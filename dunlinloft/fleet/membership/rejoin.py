"""Join and rejoin: discovers members that are missing from this view.

At its start, a process exchanges states with a seed. After a partition has healed, its sides find each other
by pinging dead members. Groups of members that never knew each other have no dead members to ping, so a
process never stops contacting seeds that are not in view.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.membership.state_exchange import StateExchange
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import MetadataValue, Ping

JOIN_BACKOFF_MS = 500.0  # initial delay between join attempts while alone; doubles with each attempt
MAX_JOIN_BACKOFF_MS = 4_000.0
REJOIN_INTERVAL_MS = 10_000.0  # between contacts of seeds that are not in view, once other members are known
DEAD_PROBE_INTERVAL_MS = 1_000.0  # a member pings at most one dead member in each interval
# Approximate number of pings that each dead member receives per interval from all members together: enough
# that one arrives soon after a partition heals, and independent of the fleet's size.
DEAD_PROBES_PER_INTERVAL = 20.0


class Rejoin(StateExchange):
    """Exchanges states with seeds that are not in view, and pings members that are dead in this view."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        self._join_backoff_ms = JOIN_BACKOFF_MS / 2.0
        self._members_at_seeds: set[str] = set()  # names of members seen at a seed's address

    def _rejoin(self) -> None:
        """Exchange states with a seed that is not in view, with backoff while alone, later periodically."""
        seeds = self._unreached_seeds()
        if seeds and not self.muted:
            self.actions.append(api.PushPull(self.rng.choice(seeds), self.state()))
        # A process that is alone may have joined by a seed that has died; a small group may be isolated.
        alone = not len(self.view.alive)
        doubled_ms = min(MAX_JOIN_BACKOFF_MS, 2.0 * self._join_backoff_ms)
        self._join_backoff_ms = doubled_ms if alone else REJOIN_INTERVAL_MS
        self.set_timer(self._join_backoff_ms * (0.5 + self.rng.random()), TimerKind.REJOIN)

    def _unreached_seeds(self) -> list[str]:
        """Return the seeds whose address belongs to no live member in view."""
        members = self.view.members
        reached = {members[name].address for name in self._members_at_seeds if name in self.view.alive}
        absent = [seed for seed in self._seeds if seed != self.address and seed not in reached]
        if absent:  # remember the names of members that have appeared at these addresses
            found = {m.name for m in members.values() if m.is_alive() and m.address in absent}
            self._members_at_seeds |= found
            reached = {members[name].address for name in found}
        return [seed for seed in absent if seed not in reached]

    def _probe_dead(self) -> None:
        """Ping a random dead member, so that the sides of a healed partition find each other."""
        dead = self.view.dead
        # The probability is chosen so that each dead member gets about `DEAD_PROBES_PER_INTERVAL` pings in
        # all.
        is_drawn = self.rng.random() * self.alive_count() < DEAD_PROBES_PER_INTERVAL * len(dead)
        for name in dead.sample(1) if is_drawn else ():
            member = self.view.members[name]
            records = [member.to_record(include_metadata=False)]
            self.send_datagram(member.address, Ping(self.header(), 0, name, records))
        self.set_timer(DEAD_PROBE_INTERVAL_MS * (0.5 + self.rng.random()), TimerKind.PROBE_DEAD)
