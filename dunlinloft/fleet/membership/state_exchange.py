"""Push-pull exchange of complete states over a stream: anti-entropy for updates that dissemination missed.

Every header carries a digest of the sender's view. States are exchanged with a member whose view differs for
longer than `DIVERGENCE_TOLERANCE_MS`, and periodically with a random member.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.dissemination import GOSSIP_INTERVAL_MS, Dissemination
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.messages import DEAD, Gossip, Header, MetadataValue

PUSH_PULL_INTERVAL_MS = 30_000.0  # with a random member, jittered; the value of memberlist's PushPullInterval
DIVERGENCE_TOLERANCE_MS = 1_500.0  # time for gossip to resolve a divergence before states are exchanged
MIN_PUSH_PULL_INTERVAL_MS = 2_000.0  # between exchanges for divergence, as several headers show the same one


class StateExchange(Dissemination):
    """Decides when a push-pull exchange is due, and with which member."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        self._last_push_pull_ms = -MIN_PUSH_PULL_INTERVAL_MS

    def _push_pull_random(self, now: float) -> None:
        for name in self.view.alive.sample(1):
            self._push_pull(self.view.members[name].address, now)

    def _push_pull(self, address: str, now: float) -> None:
        if address and not self.muted:
            self._last_push_pull_ms = now
            self.actions.append(api.PushPull(address, self.state()))

    def _handle_header(self, header: Header, source: str, now: float) -> None:
        """Check from a header whether the sender is up to date in this view, and whether both views agree."""
        member = self.view.get(header.name)
        if (
            member is None
            or header.incarnation > member.incarnation
            or (not member.is_alive() and header.revision > member.revision)
        ):
            # The sender has joined or returned and no update has arrived yet: its own state has the record.
            if now - self._last_push_pull_ms > MIN_PUSH_PULL_INTERVAL_MS:
                self._push_pull(source, now)
            return
        if member.incarnation != header.incarnation:
            return
        if not member.is_alive():  # the sender does not know that it was declared dead; it can refute that
            if member.status == DEAD and now - member.status_since_ms > GOSSIP_INTERVAL_MS:
                self.send_datagram(source, Gossip(self.header(), [member.to_record(include_metadata=False)]))
            return
        member.view_digest = header.digest
        if header.digest == self.digest():
            member.diverged_since_ms = -1.0
        elif member.diverged_since_ms < 0.0:
            member.diverged_since_ms = now
        elif (
            now - member.diverged_since_ms > DIVERGENCE_TOLERANCE_MS
            and now - self._last_push_pull_ms > MIN_PUSH_PULL_INTERVAL_MS * self._push_pull_jitter()
        ):
            self._push_pull(source, now)

    def _push_pull_jitter(self) -> float:
        return 0.5 + self.rng.random()
