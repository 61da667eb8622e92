"""Operators of the simulated control plane: each changes what it read last, and reads are checked."""

from __future__ import annotations

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ConfigurationChange
from lab.control.cluster import Cluster

READ_MS = 200.0
LOOK_AGAIN_MS = 100.0
AGAIN_SHARE = 0.2  # of acknowledged orders are sent once more


def small_order(version: int, base: int, text: str = "", kind: str = "replace") -> ConfigurationChange:
    """An order with an empty configuration; `text` tells it from others with the same numbers."""
    body = {"version": version, "routes": [], "services": [], "note": text}
    return ConfigurationChange(kind, base, f"{kind}/{base}/{version}/{text}", body)


class Operator:
    """Sends changes one after the other, each on the newest version that it knows."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.acked = self.refused = self.unclear = 0
        self.worst_ms = 0.0

    def change(self) -> None:
        """One change, and the next one some time after it has ended."""
        cluster = self.cluster
        step = cluster.rng.randint(1, 3)
        order = small_order(self.version + step, self.version, f"{cluster.rng.random()}")
        began = cluster.now

        def ended(status: int) -> None:
            if status == 200:
                self._on_acked(order, cluster.now - began)
            elif status:
                self.refused += 1
            else:
                self.unclear += 1
            go_on = self.change if status == 200 else self.look
            cluster.after(50.0 + 300.0 * cluster.rng.random(), go_on)

        cluster.order(order, ended)

    def _on_acked(self, order: ConfigurationChange, took_ms: float) -> None:
        cluster = self.cluster
        self.acked += 1
        self.version = order.body["version"]
        cluster.rules.durable(cluster.machines, order)
        self.worst_ms = max(self.worst_ms, took_ms)
        if cluster.rng.random() < AGAIN_SHARE:  # its answer was lost, as far as the operator knows
            cluster.order(order, lambda _: None)

    def look(self) -> None:
        """Read which version is current: somebody else changed it, or nothing clear came back."""
        cluster = self.cluster

        def taker(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                self.version = reply.version
                self.change()
            else:
                cluster.after(LOOK_AGAIN_MS, self.look)

        up = [m.address for m in cluster.machines.values() if not m.gone]
        cluster.call(up[cluster.rng.randrange(len(up))], None, taker)

    def read(self) -> None:
        """Reads now and then; none may be older than what was acknowledged before it began."""
        cluster = self.cluster
        up = [m.address for m in cluster.machines.values() if m.replica is not None]
        acked = cluster.rules.newest_acked

        def taker(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                cluster.rules.read(reply.version, acked)

        if up:
            cluster.call(up[cluster.rng.randrange(len(up))], None, taker)
        cluster.after(READ_MS, self.read)
