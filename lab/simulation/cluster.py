"""All simulated machines of one run, and the interface by which faults are injected into them.

Times of this interface are in milliseconds, as those of `lab.control.faults` are.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from dunlinloft.controlplane.components import Components
from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from dunlinloft.coordination.stream import ConfigurationId, ServerRecord
from dunlinloft.quota_bounds import quota_bounds
from dunlinloft.settings import TimingBounds
from lab.control.invariants import InvariantChecker
from lab.control.quota_cluster import QuotaWindow
from lab.simulation.calm import DisturbanceTracker
from lab.simulation.checkers import NodeChecker
from lab.simulation.control_machine import (
    CONTROL_PORT,
    INTERNAL_PORT,
    ControlMachine,
    settings_of,
)
from lab.simulation.data_node import DataNode
from lab.simulation.deployment import QUOTA_LIMIT, Deployment
from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.model_server import SERVICE_S, CallOutcome, ModelServer
from lab.simulation.network import OUTSIDE, Network
from lab.simulation.process import SteadyClock

CALL_TIMEOUT_S = 1.0  # after which a call to a control plane is unanswered
RESTART_DELAY_MS = 300.0  # from a process's exit until the platform restarts it
MAX_DRIFT = 0.04  # of a monotonic clock, as a fraction, in either direction
MAX_BOOT_OFFSET_S = 100_000.0
SERVICE = "pool"
BOUNDS = TimingBounds(quota_tolerance=2_000.0)

Call = Callable[[ControlMachine], Coroutine[Any, Any, Any]]


class SimulatedCluster:
    """Simulated control machines, data-plane nodes, model servers and the network between them.

    Attributes
    ----------
    machines
        Control machines by the address of their internal listener.
    configured_seeds
        Seed addresses in the settings of processes that start from now on.
    """

    def __init__(self, seed: int, deployment: Deployment, loop: SimulatedEventLoop) -> None:
        self.rng = random.Random(seed)
        self.loop = loop
        self.network = Network(self.loop, random.Random(self.rng.getrandbits(64)))
        self.disturbances = DisturbanceTracker(lambda: self.loop.now_s)
        self.tolerance = deployment.tolerance
        self.checker = InvariantChecker(deployment.tolerance)
        self.node_checker = NodeChecker(self)
        self.quota_window = QuotaWindow(quota_bounds(BOUNDS), QUOTA_LIMIT)
        self.machines: dict[str, ControlMachine] = {}
        self.nodes: dict[str, DataNode] = {}
        self.servers: list[ModelServer] = []
        self._hosts: dict[str, ControlMachine | DataNode] = {}
        for number in range(1, deployment.control_machines + 1):
            self._add_machine(f"10.0.0.{number}", number <= deployment.seeds + deployment.additional)
        self.seeds = tuple(list(self.machines)[: deployment.seeds])
        self.configured_seeds = self.seeds
        for number in range(1, deployment.nodes + 1):
            self._add_node(f"node-{number}", f"10.1.0.{number}")
        for number in range(1, deployment.servers + 1):
            self._add_server(f"10.2.0.{number}")
        for address in self.machines:
            self.start(address, bootstrap=True)
        for name in self.nodes:
            self.start_node(name)

    # Construction.

    def _clock(self) -> SteadyClock:
        """Draw a machine's monotonic clock, with a random drift and boot time."""
        drift = self.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        return SteadyClock(self.rng.uniform(0.0, MAX_BOOT_OFFSET_S), 1.0 + drift)

    def _add_machine(self, host: str, stateful: bool) -> ControlMachine:
        machine = ControlMachine(
            host,
            stateful,
            self._clock(),
            self.loop,
            self.network,
            random.Random(self.rng.getrandbits(64)),
            self._on_commit,
            self._on_change,
            self._on_exit,
        )
        self.machines[machine.address] = machine
        self._hosts[host] = machine
        return machine

    def _add_node(self, name: str, host: str) -> None:
        node = DataNode(
            name,
            host,
            self._clock(),
            self.loop,
            self.network,
            random.Random(self.rng.getrandbits(64)),
            self._deliver,
            self._on_spent,
            self._on_activated,
            self._on_change,
        )
        self.nodes[name] = node
        self._hosts[host] = node

    def _add_server(self, name: str) -> None:
        server = ModelServer(
            name,
            SERVICE,
            random.Random(self.rng.getrandbits(64)),
            lambda: self.loop.now_s,
            self.control_hosts,
            self._call_for_server,
        )
        self.servers.append(server)
        self.loop.start_outside(server.run())

    # Observers.

    def _on_commit(self, state: ChainState, machine: ControlMachine) -> None:
        with self.loop.reporting():
            self.checker.on_commit(state, machine, self.machines)

    def _on_spent(self, amount: float) -> None:
        with self.loop.reporting():
            self.quota_window.spend(amount, self.now)

    def _on_activated(self, node: DataNode, before: ConfigurationId, after: ConfigurationId) -> None:
        with self.loop.reporting():
            self.node_checker.on_activated(node, before, after)

    def _on_change(self, changed: ControlMachine | DataNode) -> None:
        in_core = isinstance(changed, ControlMachine) and changed.stateful
        self.disturbances.disturb(changed.host, in_core)

    def _on_exit(self, machine: ControlMachine) -> None:
        """Restart a process that exited after SIGTERM, as the platform does."""
        self.after(RESTART_DELAY_MS, lambda: self.start(machine.address))

    def control_hosts(self) -> list[str]:
        """Return the hosts of all control planes that were not removed."""
        return [machine.host for machine in self.machines.values() if not machine.removed]

    def core_is_stable(self) -> bool:
        """Return whether a majority of the core runs with no blocked link, and all disks of the core work."""
        core = [machine for machine in self.machines.values() if machine.stateful and not machine.removed]
        blocked = self.network.blocked_hosts()
        healthy = [each for each in core if each.running and each.disk_works and each.host not in blocked]
        return 2 * len(healthy) > len(core) and all(each.disk_works for each in core)

    def in_contact(self, host: str) -> bool:
        """Return whether invariants with a time bound apply to a host now."""
        host_machine = self._hosts[host]
        reachable = host_machine.running and host not in self.network.blocked_hosts()
        disk_works = host_machine.disk_works if isinstance(host_machine, ControlMachine) else True
        return reachable and disk_works and self.disturbances.undisturbed(host) and self.core_is_stable()

    # Time.

    @property
    def now(self) -> float:
        """Milliseconds since the start."""
        return 1_000.0 * self.loop.now_s

    def after(self, delay_ms: float, action: Callable[[], Any]) -> None:
        """Schedule an action."""
        self.loop.after(delay_ms / 1_000.0, action)

    def run(self, for_ms: float) -> None:
        """Advance virtual time. Raises `InvariantViolation` and `ProcessFailure`."""
        self.loop.run_until(self.loop.now_s + for_ms / 1_000.0)

    # Faults of control machines, by address.

    def start(self, address: str, bootstrap: bool = False) -> None:
        """Start a control plane."""
        machine = self.machines[address]
        hosts = tuple(seed.rsplit(":", 1)[0] for seed in self.configured_seeds)
        name = f"control-{machine.host}"
        settings = settings_of(name, machine.host, hosts, BOUNDS, self.tolerance, machine.stateful)
        if bootstrap:
            settings = msgspec.structs.replace(settings, bootstrap=True)
        machine.start(settings)

    def add(self, address: str) -> None:
        """Add and start a machine with an empty disk."""
        self._add_machine(address.rsplit(":", 1)[0], stateful=True)
        self.start(address)

    def kill(self, address: str) -> None:
        """Kill a process."""
        self.machines[address].kill()

    def power_off(self, address: str) -> None:
        """Cut a machine's power."""
        self.machines[address].kill(power_lost=True)

    def wipe(self, address: str) -> None:
        """Cut a machine's power, and lose its disk."""
        machine = self.machines[address]
        machine.kill(power_lost=True)
        if machine.durable is not None:
            self.checker.on_disk_lost(machine.durable)
        machine.lose_disk()

    def remove(self, address: str) -> None:
        """Remove a machine permanently."""
        self.wipe(address)
        self.machines[address].removed = True

    def freeze(self, address: str) -> None:
        """Suspend a process."""
        self.machines[address].freeze()

    def thaw(self, address: str) -> None:
        """Resume a process."""
        self.machines[address].thaw()

    def stall(self, address: str, stalled: bool) -> None:
        """Stall a disk, or let it continue."""
        self.machines[address].stall(stalled)

    def leave(self, address: str, grace_ms: float) -> None:
        """Send SIGTERM, then SIGKILL after the grace period."""
        machine = self.machines[address]
        generation = machine.generation
        machine.terminate()

        def end() -> None:
            """Kill the process unless it was restarted."""
            if machine.generation == generation:
                machine.kill()

        self.after(grace_ms, end)

    def update_seeds(self) -> None:
        """Set the seeds in all settings to present machines; processes may reload them."""
        hosts = self.control_hosts()[:3]
        self.configured_seeds = tuple(f"{host}:{INTERNAL_PORT}" for host in hosts)
        seed_nodes = tuple(f"{host}:{CONTROL_PORT}" for host in hosts)
        for host_machine in self._hosts.values():
            host_machine.settings = msgspec.structs.replace(host_machine.settings, seed_nodes=seed_nodes)

    # Link faults. Control planes are identified by address, nodes by name.

    def host_of(self, name: str) -> str:
        """Return the host of a control plane or node."""
        return self.nodes[name].host if name in self.nodes else name.rsplit(":", 1)[0]

    @property
    def disconnected(self) -> bool:
        """Whether any link is blocked."""
        return self.network.any_blocked

    def disconnect(self, one: str, other: str, both: bool = True) -> None:
        """Block a link from `one` to `other`, with `both` in both directions."""
        hosts = self.host_of(one), self.host_of(other)
        self.network.block(*hosts)
        if both:
            self.network.block(hosts[1], hosts[0])
        self._disturb(hosts)

    def reconnect(self, one: str, other: str, both: bool = True) -> None:
        """Undo one `disconnect`; the link works once no fault blocks it."""
        hosts = self.host_of(one), self.host_of(other)
        self.network.unblock(*hosts)
        if both:
            self.network.unblock(hosts[1], hosts[0])
        self._disturb(hosts)

    def heal(self) -> None:
        """Restore all links."""
        self._disturb(tuple(self.network.blocked_hosts()))
        self.network.unblock_all()

    def delay_links(self, name: str, extra_s: float) -> None:
        """Set the extra delay of a host's traffic in each direction."""
        if self.network.delay(self.host_of(name), extra_s):
            self._disturb((self.host_of(name),))

    def damage_links(self, name: str, probability: float) -> None:
        """Set the probability with which a write of a host's processes is corrupted."""
        if self.network.damage(self.host_of(name), probability):
            self._disturb((self.host_of(name),))

    def _disturb(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            host_machine = self._hosts.get(host)
            if host_machine is not None:
                self._on_change(host_machine)

    # Nodes, by name.

    def start_node(self, name: str) -> None:
        """Start a node's process."""
        node = self.nodes[name]
        hosts = tuple(seed.rsplit(":", 1)[0] for seed in self.configured_seeds)
        node.start(settings_of(name, node.host, hosts, BOUNDS, self.tolerance, False))

    # Calls of servers and operators, which are outside of all simulated hosts.

    async def call_control(self, host: str, call: Call) -> Any:
        """Call a control plane as servers and operators do; return None if no reply arrives in time."""
        answer: asyncio.Future[Any] = self.loop.create_future()
        self.loop.after(self.network.delay_s(OUTSIDE, host), self._on_call, host, call, answer)
        self.loop.after(CALL_TIMEOUT_S, _give_up, answer)
        return await answer

    def _on_call(
        self,
        host: str,
        call: Call,
        answer: asyncio.Future[Any],
    ) -> None:
        machine = self._hosts[host]
        assert isinstance(machine, ControlMachine)
        if self.network.blocked(OUTSIDE, host) or not self.network.powered(host):
            return
        if machine.components is None or machine.process is None:
            self.loop.after(self.network.delay_s(host, OUTSIDE), _give_up, answer)  # connection refused
            return
        task = self.loop.start_in(machine.process, call(machine))
        task.add_done_callback(
            lambda done: self.loop.after(
                self.network.delay_s(host, OUTSIDE), self._answer, host, answer, done.result()
            ),
            context=self.loop.outside_context(),
        )

    def _answer(self, host: str, answer: asyncio.Future[Any], result: Any) -> None:
        if not answer.done() and not self.network.blocked(host, OUTSIDE):
            answer.set_result(result)

    async def call_operator(self, host: str, change: ConfigurationChange | None) -> Reply | None:
        """Make an operator's call: a change, or a read if `change` is None."""
        reply: Reply | None = await self.call_control(
            host, lambda machine: _components(machine).replica_host.call(change)
        )
        return reply

    async def _call_for_server(self, host: str, record: ServerRecord | None, server_id: str) -> CallOutcome:
        def call(machine: ControlMachine) -> Coroutine[Any, Any, bool]:
            """Pass a heartbeat or a deregistration to the control plane's registrar."""
            registrar = _components(machine).registrar
            return registrar.deregister(server_id) if record is None else registrar.heartbeat(record)

        acknowledged = await self.call_control(host, call)
        return CallOutcome(bool(acknowledged), self.in_contact(host))

    async def _deliver(self, node: DataNode, server_id: str, address: str) -> bool:
        """Send a request to the server at an address; return False if a server with another id is there."""
        await asyncio.sleep(self.network.delay_s(node.host, OUTSIDE))
        server = next(each for each in self.servers if each.instance.address == address)
        instance = server.instance
        if instance.id != server_id or instance.ended_s is not None:
            return False
        with self.loop.reporting():
            self.node_checker.on_arrival(node, instance)
        await asyncio.sleep(self.rng.uniform(*SERVICE_S))
        return instance.ended_s is None


def _components(machine: ControlMachine) -> Components:
    assert machine.components is not None
    return machine.components


def _give_up(answer: asyncio.Future[Any]) -> None:
    if not answer.done():
        answer.set_result(None)
