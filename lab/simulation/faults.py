"""Fault injection for whole processes: the faults of replicas, and faults of nodes, disks and streams."""

from __future__ import annotations

import random
from collections.abc import Callable

from lab.control.faults import Fault, FaultInjector, FaultKind
from lab.simulation.cluster import SimulatedCluster
from lab.simulation.network import OUTSIDE

DAMAGE_PROBABILITY = 0.05  # that a write on a damaged link is corrupted
DELAY_S = (0.05, 0.9)  # range of the extra delay of a delayed link
NODE_GRACE_MS = 8_000.0  # of a node after SIGTERM
MASS_KILL_SHARE = 0.5  # fraction of all processes

End = Callable[[], None]


class ProcessFaultInjector(FaultInjector):
    """Injects faults into a `SimulatedCluster` and ends them."""

    def __init__(self, cluster: SimulatedCluster, tolerance: int) -> None:
        super().__init__(cluster, tolerance)
        self._simulation = cluster

    def _inject(self, fault: Fault, address: str, stateful: list[str]) -> End | None:
        names = list(self._simulation.nodes)
        name = names[fault.pick % len(names)]
        match fault.kind:
            case FaultKind.PARTITION_FROM_ALL:
                others = [other for other in self._simulation.machines if other != address]
                return self._partition([address], [*others, *names, f"{OUTSIDE}:0"])
            case FaultKind.FULL_DISK:
                return self._fill_disk(address)
            case FaultKind.NODE_KILL:
                self._simulation.nodes[name].kill(power_lost=bool(fault.pick & 256))
                return lambda: self._simulation.start_node(name)
            case FaultKind.NODE_FREEZE:
                self._simulation.nodes[name].freeze()
                return self._simulation.nodes[name].thaw
            case FaultKind.NODE_PARTITION:
                return self._partition_node(name, fault)
            case FaultKind.NODE_RESTART:
                return self._restart_node(name)
            case FaultKind.MASS_KILL:
                return self._kill_many(fault)
            case FaultKind.POWER_EVERYTHING:
                return self._power_off_everything()
            case FaultKind.DAMAGE:
                return self._damage(address, name, fault)
            case FaultKind.DELAY:
                return self._delay(address, name, fault)
        return super()._inject(fault, address, stateful)

    def _fill_disk(self, address: str) -> End:
        machine = self._simulation.machines[address]
        machine.fill_disk(True)
        return lambda: machine.fill_disk(False)

    def _partition_node(self, name: str, fault: Fault) -> End:
        """Partition a node from some or all of the control plane, in one or both directions."""
        addresses = [m.address for m in self._simulation.machines.values() if not m.removed]
        count = 1 + (fault.pick >> 4) % len(addresses)
        return self._partition([name], addresses[:count], both=bool(fault.pick & 1))

    def _restart_node(self, name: str) -> End:
        node = self._simulation.nodes[name]
        node.terminate()
        self._simulation.after(NODE_GRACE_MS, lambda: None)
        return lambda: self._simulation.start_node(name)

    def _kill_many(self, fault: Fault) -> End:
        """Kill each process with probability `MASS_KILL_SHARE`, all at once."""
        rng = random.Random(fault.pick)
        for machine in self._simulation.machines.values():
            if rng.random() < MASS_KILL_SHARE:
                machine.kill()
        for node in self._simulation.nodes.values():
            if rng.random() < MASS_KILL_SHARE:
                node.kill()
        return self._start_everything

    def _power_off_everything(self) -> End:
        for machine in self._simulation.machines.values():
            machine.kill(power_lost=True)
        for node in self._simulation.nodes.values():
            node.kill(power_lost=True)
        return self._start_everything

    def _start_everything(self) -> None:
        for address, machine in self._simulation.machines.items():
            if not machine.removed:
                self._simulation.start(address)
        for name in self._simulation.nodes:
            self._simulation.start_node(name)

    def _damage(self, address: str, name: str, fault: Fault) -> End:
        target = name if fault.pick & 256 else address
        self._simulation.damage_links(target, DAMAGE_PROBABILITY)
        return lambda: self._simulation.damage_links(target, 0.0)

    def _delay(self, address: str, name: str, fault: Fault) -> End:
        target = name if fault.pick & 256 else address
        extra_s = random.Random(fault.pick).uniform(*DELAY_S)
        self._simulation.delay_links(target, extra_s)
        return lambda: self._simulation.delay_links(target, 0.0)

    def end_all(self) -> None:
        """End all faults: all machines run and all links work."""
        simulation = self._simulation
        for machine in simulation.machines.values():
            machine.fill_disk(False)
            simulation.damage_links(machine.address, 0.0)
            simulation.delay_links(machine.address, 0.0)
        for node in simulation.nodes.values():
            simulation.damage_links(node.name, 0.0)
            simulation.delay_links(node.name, 0.0)
            node.thaw()
        simulation.update_seeds()
        super().end_all()
        self._start_everything()
