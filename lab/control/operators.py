"""Simulated operators, which change the newest version that they know and check reads."""

from __future__ import annotations

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ConfigurationChange
from lab.control.cluster import Cluster

READ_INTERVAL_MS = 200.0
RETRY_DELAY_MS = 100.0  # after a failed read of the version
DUPLICATE_PROBABILITY = 0.2  # that an acknowledged change is submitted again


def empty_change(version: int, base: int, text: str = "", kind: str = "replace") -> ConfigurationChange:
    """Return a change to an empty configuration; `text` distinguishes changes with the same versions."""
    body = {"version": version, "routes": [], "services": [], "note": text}
    return ConfigurationChange(kind, base, f"{kind}/{base}/{version}/{text}", body)


class Operator:
    """Submits changes one at a time, each based on the newest known version."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.acked = 0
        self.refused = 0
        self.indefinite = 0
        self.max_latency_ms = 0.0

    def change(self) -> None:
        """Submit a change, and schedule the next step after its result."""
        cluster = self.cluster
        step = cluster.rng.randint(1, 3)
        change = empty_change(self.version + step, self.version, f"{cluster.rng.random()}")
        submitted_ms = cluster.now

        def on_result(status: int) -> None:
            """Count the result and schedule the next step."""
            if status == 200:
                self._on_acked(change, cluster.now - submitted_ms)
            elif status:
                self.refused += 1
            else:
                self.indefinite += 1
            next_step = self.change if status == 200 else self.refresh_version
            cluster.after(50.0 + 300.0 * cluster.rng.random(), next_step)

        cluster.submit(change, on_result)

    def _on_acked(self, change: ConfigurationChange, latency_ms: float) -> None:
        cluster = self.cluster
        self.acked += 1
        self.version = change.body["version"]
        cluster.checker.check_acknowledged(cluster.machines, change)
        self.max_latency_ms = max(self.max_latency_ms, latency_ms)
        if cluster.rng.random() < DUPLICATE_PROBABILITY:  # as if the reply had been lost
            cluster.submit(change, lambda _: None)

    def refresh_version(self) -> None:
        """Read the current version after a rejection or an indefinite result, then change it."""
        cluster = self.cluster

        def on_reply(reply: Reply | None) -> None:
            """Submit a change based on the version read, or retry the read."""
            if reply is not None and reply.status == 200:
                self.version = reply.version
                self.change()
            else:
                cluster.after(RETRY_DELAY_MS, self.refresh_version)

        up = [m.address for m in cluster.machines.values() if not m.removed]
        cluster.call(up[cluster.rng.randrange(len(up))], None, on_reply)

    def read(self) -> None:
        """Read periodically; no read may be older than the newest change acknowledged before it began."""
        cluster = self.cluster
        up = [m.address for m in cluster.machines.values() if m.replica is not None]
        acked = cluster.checker.newest_acked

        def on_reply(reply: Reply | None) -> None:
            """Check the version read."""
            if reply is not None and reply.status == 200:
                cluster.checker.check_read(reply.version, acked)

        if up:
            cluster.call(up[cluster.rng.randrange(len(up))], None, on_reply)
        cluster.after(READ_INTERVAL_MS, self.read)
