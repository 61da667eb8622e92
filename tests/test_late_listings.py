"""A server that left is not brought back by a control plane that could not be notified: whole processes.

Servers deregister first and serve on, in virtual time. The fault that these tests guard against: a control
plane that was killed, without power, frozen or cut off when a server left went on listing the server, and
nodes sent requests to it until it ended (review/2).
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lab.simulation.cluster import SimulatedCluster
from lab.simulation.model_server import DRAIN_S, HEARTBEAT_S, ServerInstance
from lab.simulation.world import simulated_cluster

SEED = 0  # three control planes, two nodes, three servers
WARM_UP_MS = 4_500.0  # more than a contact window without disturbance
OUTAGE_MS = 3_800.0
SERVES_ON_S = 9.0
STEP_MS = 50.0
ACKNOWLEDGEMENT_STEP_MS = 1.0
PROPAGATION_S = 1.0  # a change reaches all nodes in about a second

Fault = Callable[[SimulatedCluster, str], None]


def _cut_off(cluster: SimulatedCluster, address: str) -> None:
    for other in (*cluster.machines, *cluster.nodes):
        if other != address:
            cluster.disconnect(address, other)


def _restart_node(cluster: SimulatedCluster, name: str) -> None:
    cluster.nodes[name].kill()
    cluster.start_node(name)


# How a control plane is taken away, and how it comes back.
OUTAGES: dict[str, tuple[Fault, Fault]] = {
    "killed": (SimulatedCluster.kill, SimulatedCluster.start),
    "without power": (SimulatedCluster.power_off, SimulatedCluster.start),
    "frozen": (SimulatedCluster.freeze, SimulatedCluster.thaw),
    "cut off": (_cut_off, lambda cluster, _: cluster.heal()),
}


def _restart_everything(cluster: SimulatedCluster, stop: Fault) -> None:
    for address in cluster.machines:
        stop(cluster, address)
    for address in cluster.machines:
        cluster.start(address)
    for name in cluster.nodes:
        _restart_node(cluster, name)


class _Departure:
    """A server that deregisters, with the nodes' knowledge of it."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        for server in cluster.servers:
            server.may_end = False
        self._server = cluster.servers[0]
        cluster.run(WARM_UP_MS)
        self.instance: ServerInstance = self._server.instance
        assert self.knowing_nodes() == list(cluster.nodes)

    def knowing_nodes(self) -> list[str]:
        """Return the names of the nodes that may send requests to the server."""
        return [
            node.name
            for node in self._cluster.nodes.values()
            if node.clients is not None
            and any(self.instance.id in pool.servers for pool in node.clients.servers.pools.values())
        ]

    def deregister(self) -> None:
        """Let the server deregister, and wait until that is acknowledged."""
        self._server.deregister_first(SERVES_ON_S)
        for _ in range(int(1_000.0 * (HEARTBEAT_S + 3.0) / ACKNOWLEDGEMENT_STEP_MS)):
            self._cluster.run(ACKNOWLEDGEMENT_STEP_MS)
            if self.instance.deregistered is not None:
                return
        raise AssertionError("the deregistration is not acknowledged")

    def deregister_while_down(self, address: str) -> None:
        """Kill a control plane, let the server deregister, and start the control plane again."""
        self._cluster.kill(address)
        self._cluster.run(1_800.0)
        self.deregister()
        self._cluster.run(1_500.0)
        self._cluster.start(address)

    def check_unknown_until_it_ends(self, after_s: float = DRAIN_S) -> None:
        """Check in small steps that no node knows the server, from `after_s` after it left to its end."""
        assert self.instance.deregistered is not None
        due_s = self.instance.deregistered.at_s + after_s
        while self.instance.ended_s is None:
            self._cluster.run(STEP_MS)
            if self._cluster.loop.now_s >= due_s:
                known_for_s = self._cluster.loop.now_s - self.instance.deregistered.at_s
                assert not self.knowing_nodes(), f"known {known_for_s:.2f} s after it deregistered"


@pytest.mark.parametrize("machine", range(3))
@pytest.mark.parametrize("outage", OUTAGES)
def test_a_server_that_left_during_an_outage_is_not_brought_back(outage: str, machine: int) -> None:
    begin, end = OUTAGES[outage]
    with simulated_cluster(SEED) as cluster:
        address = list(cluster.machines)[machine]
        departure = _Departure(cluster)
        begin(cluster, address)
        cluster.run(1_800.0)
        departure.deregister()
        assert cluster.loop.now_s * 1_000.0 < WARM_UP_MS + OUTAGE_MS
        cluster.run(WARM_UP_MS + OUTAGE_MS - cluster.now)
        end(cluster, address)
        departure.check_unknown_until_it_ends(PROPAGATION_S)


@pytest.mark.parametrize("outage", ["without power", "frozen", "cut off"])
def test_a_server_that_leaves_before_an_outage_is_noticed_is_removed(outage: str) -> None:
    """A node notices the end of such a stream only after 1.5 s; until then the stream's listing counted."""
    begin, _ = OUTAGES[outage]
    with simulated_cluster(SEED) as cluster:
        departure = _Departure(cluster)
        departure._server.deregister_first(SERVES_ON_S)
        begin(cluster, list(cluster.machines)[2])
        departure.deregister()
        departure.check_unknown_until_it_ends(PROPAGATION_S)


def test_a_restarted_node_does_not_take_the_server_from_a_restarted_control_plane() -> None:
    with simulated_cluster(SEED) as cluster:
        departure = _Departure(cluster)
        departure.deregister_while_down(list(cluster.machines)[1])
        for name in cluster.nodes:
            _restart_node(cluster, name)
        departure.check_unknown_until_it_ends()


def test_a_control_plane_that_was_down_hears_of_the_deregistration() -> None:
    """It is the only source of a node that restarts later and reaches no other control plane."""
    with simulated_cluster(SEED) as cluster:
        *others, address = cluster.machines
        departure = _Departure(cluster)
        departure.deregister_while_down(address)
        cluster.run(1_000.0 * DRAIN_S)
        name = next(iter(cluster.nodes))
        for other in others:
            cluster.disconnect(name, other)
        _restart_node(cluster, name)
        departure.check_unknown_until_it_ends()
        clients = cluster.nodes[name].clients
        assert clients is not None
        assert any(pool.servers for pool in clients.servers.pools.values()), "it has been sent a listing"


@pytest.mark.parametrize("stop", [SimulatedCluster.kill, SimulatedCluster.power_off])
@pytest.mark.parametrize("delay_ms", [0.0, 1_200.0])
def test_a_restart_of_everything_does_not_bring_the_server_back(stop: Fault, delay_ms: float) -> None:
    """Every memory that has the deregistration is lost, even right after its acknowledgement."""
    with simulated_cluster(SEED) as cluster:
        departure = _Departure(cluster)
        departure.deregister()
        cluster.run(delay_ms)
        _restart_everything(cluster, stop)
        departure.check_unknown_until_it_ends()


@pytest.mark.parametrize("machine", range(3))
def test_a_restart_of_everything_beside_an_old_disk_does_not_bring_the_server_back(machine: int) -> None:
    """One of the disks was not written to since before the server left."""
    with simulated_cluster(SEED) as cluster:
        departure = _Departure(cluster)
        cluster.kill(list(cluster.machines)[machine])
        cluster.run(1_800.0)
        departure.deregister()
        _restart_everything(cluster, SimulatedCluster.kill)
        departure.check_unknown_until_it_ends()
