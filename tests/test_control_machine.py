"""A Hypothesis state machine over the control-plane replicas, with any sequence of tolerated faults."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ChangeKind, ConfigurationChange
from lab.control.cluster import Cluster

RUNS = int(os.environ.get("CONTROL_RUNS", "25"))  # docs/lab.md describes runs of thousands
SYNC_TIMEOUT_MS = 4_000.0  # a repaired machine counts as lost until it has had this time to catch up


class Replicas(RuleBasedStateMachine):
    """Changes, reads and one fault at a time."""

    @initialize(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.02]))
    def begin(self, seed: int, loss: float) -> None:
        self.cluster = Cluster(seed, loss=loss)
        self.version = 0
        self.down: str | None = None
        self.number = 0
        self.cluster.run(400.0)

    @rule(step=st.integers(1, 3))
    def order(self, step: int) -> None:
        """An operator sends a change on the version that it knows."""
        self.number += 1
        version = self.version + step
        body = {"version": version, "routes": [], "services": [], "note": self.number}
        order = ConfigurationChange(ChangeKind.REPLACE, self.version, f"order {self.number}", body)

        def on_result(status: int) -> None:
            if status == 200:
                self.version = max(self.version, version)
                self.cluster.checker.check_acknowledged(self.cluster.machines, order)

        self.cluster.submit(order, on_result)

    @rule(position=st.integers(0, 2))
    def read(self, position: int) -> None:
        """An operator reads; it learns the version."""
        acked = self.cluster.checker.newest_acked

        def taker(reply: Reply | None) -> None:
            if reply is not None and reply.status == 200:
                self.cluster.checker.check_read(reply.version, acked)
                self.version = max(self.version, reply.version)

        self.cluster.call(self.cluster.seeds[position], None, taker)

    @rule(for_ms=st.sampled_from([3.0, 20.0, 150.0, 700.0, 1_500.0]))
    def pass_time(self, for_ms: float) -> None:
        self.cluster.run(for_ms)

    @precondition(lambda self: self.down is None)
    @rule(
        position=st.integers(0, 2), how=st.sampled_from(["kill", "wipe", "freeze", "cut", "one way", "stall"])
    )
    def begin_fault(self, position: int, how: str) -> None:
        address = self.cluster.seeds[position]
        self.down = how
        self.position = position
        match how:
            case "kill":
                self.cluster.kill(address)
            case "wipe":
                self.cluster.wipe(address)
            case "freeze":
                self.cluster.freeze(address)
            case "stall":
                self.cluster.stall(address, True)
            case _:
                for other in self.cluster.seeds:
                    if other != address:
                        self.cluster.disconnect(address, other, both=how == "cut")

    @precondition(lambda self: self.down is not None)
    @rule()
    def repair(self) -> None:
        address = self.cluster.seeds[self.position]
        match self.down:
            case "kill" | "wipe":
                self.cluster.start(address)
            case "freeze":
                self.cluster.thaw(address)
            case "stall":
                self.cluster.stall(address, False)
            case _:
                self.cluster.heal()
        self.down = None
        self.cluster.run(SYNC_TIMEOUT_MS)

    @precondition(lambda self: self.down is None)
    @rule(wiped=st.sampled_from([None, 0, 1, 2]))
    def lose_all(self, wiped: int | None) -> None:
        """All processes are killed at once; one may lose its disk."""
        for position, address in enumerate(self.cluster.seeds):
            (self.cluster.wipe if position == wiped else self.cluster.kill)(address)
        for address in self.cluster.seeds:
            self.cluster.start(address)
        self.cluster.run(SYNC_TIMEOUT_MS)

    @invariant()
    def no_rule_is_broken(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.checker.check_views(self.cluster.machines)


TestReplicas = Replicas.TestCase
TestReplicas.settings = settings(
    max_examples=RUNS,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
