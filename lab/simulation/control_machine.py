"""A simulated machine that runs a control-plane process; its disk survives the process."""

from __future__ import annotations

import asyncio
import copy
import random
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack

import msgspec

from dunlinloft.controlplane.components import Components
from dunlinloft.controlplane.startup import start_components
from dunlinloft.coordination.records import DurableState, Record, apply_record
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.settings import FaultTolerance, Listeners, Settings, TimingBounds
from dunlinloft.transport.clock import now_ms
from dunlinloft.transport.live_settings import LiveSettings
from lab.control.invariants import InvariantViolation
from lab.simulation.disk import SimulatedDisk
from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.network import Network
from lab.simulation.process import SimulatedProcess, SteadyClock
from lab.simulation.simulated_host import SimulatedHost

INTERNAL_PORT = 7_000  # the port that `lab.control.faults` uses for replacements
CONTROL_PORT = 8_665
MAX_LOG_BYTES = 6_000  # small, for frequent log compaction
LEAVE_GRACE_FRACTION = 0.8
SERVER_HEARTBEAT_MS = 1_200.0

CommitObserver = Callable[[ChainState, "ControlMachine"], None]


def settings_of(
    name: str, host: str, seeds: tuple[str, ...], bounds: TimingBounds, tolerance: int, holds_state: bool
) -> Settings:
    """Return the settings of a process on a simulated machine, for either program."""
    return Settings(
        node_name=name,
        ip_address=host,
        internal_port_range=(INTERNAL_PORT, INTERNAL_PORT + 15),
        seed_nodes=tuple(f"{seed}:{CONTROL_PORT}" for seed in seeds),
        counts_for_quorum=holds_state,
        data_directory="/data" if holds_state else "",
        heartbeat_interval_ms=SERVER_HEARTBEAT_MS,
        listeners_config=Listeners(control_plane=f"{host}:{CONTROL_PORT}"),
        fault_tolerance=FaultTolerance(hosts_lost=tolerance),
        timing_bounds=bounds,
        path=name,
    )


class ControlMachine(SimulatedHost):
    """A control machine, with the attributes that `InvariantChecker` and `FaultInjector` need.

    Attributes
    ----------
    address
        Address of the internal listener; `host` is the machine's own.
    durable
        State known to be on the disk; None while the disk is empty.
    generation
        Number of times the process was started.
    """

    def __init__(
        self,
        host: str,
        stateful: bool,
        clock: SteadyClock,
        loop: SimulatedEventLoop,
        network: Network,
        rng: random.Random,
        on_commit: CommitObserver,
        on_change: Callable[[ControlMachine], None],
        on_exit: Callable[[ControlMachine], None],
    ) -> None:
        super().__init__(host, loop)
        self.address = f"{host}:{INTERNAL_PORT}"
        self.stateful = stateful
        self.disk = SimulatedDisk(loop, rng)
        self.durable: DurableState | None = None
        self.generation = 0
        self.removed = False
        self.components: Components | None = None
        self.settings = Settings("", host, (INTERNAL_PORT, INTERNAL_PORT))  # placeholder; set by `start`
        self._clock = clock
        self._network = network
        self._on_commit = on_commit
        self._on_change = on_change
        self._on_exit = on_exit  # called after the process exited on SIGTERM
        self._in_flight: list[Record] = []  # records being written to disk

    # State for checkers and fault injectors.

    @property
    def replica(self) -> Replica | None:
        """The replica of the running process; None while no process runs."""
        return None if self.components is None else self.components.replica

    @property
    def running(self) -> bool:
        """Whether the process has started and is not suspended."""
        return self.components is not None and self.process is not None and not self.process.frozen

    @property
    def frozen(self) -> bool:
        """Whether the process is suspended."""
        return self.process is not None and self.process.frozen

    @property
    def stalled(self) -> bool:
        """Whether the disk is stalled."""
        return self.disk.stalled

    @property
    def sync_slowdown(self) -> float:
        """Factor on the duration of the disk's syncs."""
        return self.disk.slowdown

    @sync_slowdown.setter
    def sync_slowdown(self, factor: float) -> None:
        if factor != self.disk.slowdown:
            self.disk.slowdown = factor
            self._report_change()

    @property
    def disk_works(self) -> bool:
        """Whether the disk is neither slow nor stalled nor full."""
        return not self.disk.stalled and not self.disk.files.full and self.disk.slowdown == 1.0

    # Process.

    def start(self, settings: Settings) -> None:
        """Start the process unless it is running or the machine was removed."""
        if self.process is not None or self.removed:
            return
        self.generation += 1
        self.settings = settings
        self._network.power_on(self.host)
        self.process = SimulatedProcess(settings.node_name, self.host, self._clock, self.disk)
        self._loop.start_in(self.process, self._run(self.process, settings))
        self._report_change()

    async def _run(self, process: SimulatedProcess, settings: Settings) -> None:
        stop = asyncio.Event()
        process.signal_handlers[signal.SIGTERM] = stop.set
        live_settings = LiveSettings(settings, lambda _: self.settings)
        async with AsyncExitStack() as stack:
            components = await start_components(
                live_settings, now_ms(), stack, self.disk.files, MAX_LOG_BYTES
            )
            self._on_started(components)
            await stop.wait()
            grace_s = settings.timing_bounds.grace_period_s
            await components.replica_host.leave(LEAVE_GRACE_FRACTION * grace_s)
        self.kill()
        self._on_exit(self)

    def _on_started(self, components: Components) -> None:
        if self.stateful:
            with self._loop.reporting():
                self._check_recovered(components.disk.durable)
            self.durable = copy.copy(components.disk.durable)
            self._observe_writes(components)
        self.components = components
        self._observe_commits(components)
        self._report_change()

    def _check_recovered(self, recovered: DurableState) -> None:
        """Check that the recovered state is the durable state plus a prefix of the records being written."""
        if self.durable is None:
            return
        candidate = copy.copy(self.durable)
        found = msgspec.json.encode(recovered)
        for record in (None, *self._in_flight):
            if record is not None:
                apply_record(candidate, record)
            if msgspec.json.encode(candidate) == found:
                return
        raise InvariantViolation(
            f"{self.host} recovered sequence {recovered.state.sequence} where {self.durable.state.sequence}"
            f" and {len(self._in_flight)} records being written were on its disk"
        )

    def _observe_writes(self, components: Components) -> None:
        store = components.disk._store
        assert store is not None
        append = store.append
        self._in_flight = []

        def observed(records: list[Record]) -> None:
            """Append records, and remember them as being written."""
            self._in_flight = list(records)
            append(records)

        store.append = observed  # type: ignore[method-assign]
        self.disk.on_finished = lambda: self._on_written(components)

    def _on_written(self, components: Components) -> None:
        if self.components is components:
            self._in_flight = []
            self.durable = copy.copy(components.disk.durable)

    def _observe_commits(self, components: Components) -> None:
        host = components.replica_host
        on_commit = host._on_commit

        def observed(state: ChainState, entry: LogEntry | None) -> None:
            """Check a committed state, then pass it to the process."""
            self._on_commit(state, self)
            on_commit(state, entry)

        host._on_commit = observed
        committed = components.replica.chain.committed
        if committed.sequence:
            self._on_commit(committed, self)

    # Faults.

    def kill(self, power_lost: bool = False) -> None:
        """Kill the process."""
        process = self.process
        self.process = None
        self.components = None
        if process is not None:
            process.alive = False
            self.disk.crash(power_lost)
            self._network.end_process(process, power_lost)
            self._report_change()

    def lose_disk(self) -> None:
        """Erase the disk; the process must have ended."""
        self.disk.wipe()
        self.durable = None
        self._in_flight = []

    def _report_change(self) -> None:
        self._on_change(self)

    def stall(self, stalled: bool) -> None:
        """Stall the disk, or let it continue."""
        if stalled != self.disk.stalled:
            self.disk.stalled = stalled
            self._report_change()

    def fill_disk(self, full: bool) -> None:
        """Make the disk refuse writes as full, or accept them again."""
        if full != self.disk.files.full:
            self.disk.files.full = full
            self._report_change()
