"""The runs behind `lab.behaviour`: one function per group, taking the run's seed or name and a recorder."""

from __future__ import annotations

import random
from collections.abc import Callable
from unittest import mock

from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.coordination.quota.bounds import QuotaBounds, QuotaLimit
from lab.balancer_driver import BalancerDriver
from lab.control import world as control_world
from lab.control.invariants import InvariantViolation
from lab.control.quota_cluster import QuotaCluster, generate_traffic
from lab.day import play_virtual
from lab.explore.duties import Duties as DutiesSystem
from lab.explore.ledger import LedgerSystem
from lab.explore.membership import MembershipSystem
from lab.explore.search import System, exhaustive_search, random_walk
from lab.explore.voters import VotersSystem
from lab.observation import Recorder
from lab.scenario import load
from lab.virtual import duties, shared
from lab.virtual.cells import CellFleet
from lab.virtual.fleet import Fleet

SCENARIO_SEED = 1
TIME_OF_DAY_S = 1_790_000_000.0  # stored in a release plan; fixed so that digests are reproducible
QUOTA_BOUNDS = QuotaBounds(8.0, 0.1, 72_000.0)
QUOTA_LIMITS = (
    QuotaLimit(436_251.0, 436_251.0),
    QuotaLimit(100_000.0, 100_000.0),
    QuotaLimit(18_000.0, 18_000.0),
)
QUOTA_AMOUNTS = (300.0, 9_190.0)
EXHAUSTED_STATES = 800
WALKED_MOVES = 1_500
WALK_STEPS = 80
BALANCER_EVENTS = 400
CONTROLLER_SAMPLES = 600


def play_control(seed: str, recorder: Recorder) -> None:
    """Run one seed of `dunlinloft world` to its end; a violated invariant is recorded as part of the run."""
    try:
        recorder.add(control_world.simulate(int(seed)))
    except InvariantViolation:
        recorder.add("broken")


def play_quotas(seed: str, recorder: Recorder) -> None:
    """Run one tenant's requests for some twenty seconds with a sequence of faults."""
    rng = random.Random(f"quotas {seed}")
    cluster = QuotaCluster(int(seed), QUOTA_BOUNDS, QUOTA_LIMITS[int(seed) % len(QUOTA_LIMITS)])
    generate_traffic(cluster, QUOTA_AMOUNTS)
    cluster.run(5_000.0)
    for _ in range(5):
        cluster.demand = rng.choice((0.2, 0.75, 3.0))
        end = _inject_quota_fault(cluster, rng)
        cluster.run(rng.uniform(100.0, 3_000.0))
        end()
        cluster.run(rng.uniform(50.0, 2_000.0))
    recorder.add(cluster.window.total, cluster.window.peak)


def _inject_quota_fault(cluster: QuotaCluster, rng: random.Random) -> Callable[[], object]:
    """Inject one random fault and return the function that ends it."""
    address, nodes = rng.choice(cluster.seeds), sorted(cluster.nodes)
    match rng.randrange(5):
        case 0:
            cluster.kill(address)
            return lambda: cluster.start(address)
        case 1:
            cluster.freeze(address)
            return lambda: cluster.thaw(address)
        case 2:
            for other in (*cluster.seeds, *nodes):
                cluster.disconnect(address, other)
        case 3:
            for node in rng.sample(nodes, len(nodes) // 2):
                cluster.disconnect(node, address, both=False)
        case 4:
            cluster.start_node(rng.choice(nodes))
    return cluster.heal


def play_scenario(name: str, recorder: Recorder) -> None:
    """Run a shipped scenario on the virtual host and record its figures."""
    with mock.patch("time.time", return_value=TIME_OF_DAY_S):
        result = play_virtual(load(name), SCENARIO_SEED)
    recorder.add(list(result.figures.values()), len(result.breaks))


def play_members(seed: str, recorder: Recorder) -> None:
    """Run membership gossip while members are killed, stopped, partitioned and leave."""
    fleet = Fleet(12, int(seed))
    rng = random.Random(f"members {seed}")
    for _ in range(12):
        fleet.run(rng.uniform(500.0, 3_000.0))
        name = rng.choice(fleet.names)
        process = fleet.processes.get(name)
        match rng.randrange(6):
            case 0 if process is not None and process.alive:
                fleet.kill(name)
            case 1 if process is not None and not process.alive:
                fleet.start(name)
            case 2 if process is not None and process.alive:
                fleet.stop(name)
                fleet.run(rng.uniform(200.0, 4_000.0))
                fleet.cont(name)
            case 3:
                partition = fleet.split(fleet.names[:5], fleet.names[5:], one_way=rng.random() < 0.3)
                fleet.run(rng.uniform(500.0, 6_000.0))
                fleet.lines.remove_fault(partition)
            case 4:
                fleet.lose(0.05, duplicate=0.02, reorder=0.02, jitter_ms=5.0)
            case 5 if process is not None and process.alive and not process.stopped:
                fleet.leave(name)
    fleet.run(5_000.0)
    recorder.add(list(fleet.flaps.values()), len(fleet.false_deaths), fleet.agreed())


def play_cells(seed: str, recorder: Recorder) -> None:
    """Run the cells of two services and their directory; one member is killed, one stopped and one added."""
    fleet = CellFleet({"a": 14, "b": 6}, int(seed), regions=("east", "west"))
    rng = random.Random(f"cells {seed}")
    fleet.run(8_000.0)
    fleet.kill(rng.choice(fleet.names))
    fleet.run(6_000.0)
    stopped = rng.choice(fleet.names)
    fleet.stop(stopped)
    fleet.run(2_000.0)
    fleet.cont(stopped)
    fleet.start(fleet.add("a", "west"))
    fleet.run(6_000.0)
    recorder.add(list(fleet.counts.values()), list(fleet.kinds.values()))


def play_leases(seed: str, recorder: Recorder) -> None:
    """Run leader leases, the ledger and voter changes under kills, stops, partitions and hand-overs."""
    world = duties.World(int(seed), ledger=True, loss=0.02)
    rng = random.Random(f"leases {seed}")
    world.run(6_000.0)
    for step in range(14):
        name = rng.choice(world.names)
        match rng.randrange(7):
            case 0 if world.processes[name].alive:
                world.kill(name)
                world.run(rng.uniform(100.0, 4_000.0))
                world.start(name)
            case 1:
                world.stop(name)
                world.run(rng.uniform(100.0, 4_000.0))
                world.cont(name)
            case 2:
                others = rng.sample(world.names, 4)
                world.cut = {(a, b) for a in others for b in world.names if b not in others}
                world.run(rng.uniform(100.0, 5_000.0))
                world.cut = set()
            case 3:
                world.hand_over(rng.choice(world.duties), rng.choice(world.names))
            case 4:
                world.replay()
            case 5:
                world.table_oracle.change(add=name) if rng.random() < 0.6 else world.table_oracle.change(
                    remove=name
                )
        world.table_oracle.enter(f"key-{step % 3}")
        world.run(rng.uniform(100.0, 2_000.0))
    world.run(5_000.0)
    recorder.add(list(world.history), world.messages, world.table_oracle.kept)


def play_shared(seed: str, recorder: Recorder) -> None:
    """Run shared state and placement of keyed requests under kills, stops and partitions."""
    world = shared.World(int(seed), loss=0.02)
    rng = random.Random(f"shared {seed}")
    for _ in range(20):
        name = rng.choice(world.names)
        match rng.randrange(5):
            case 0 if world.processes[name].alive and sum(p.alive for p in world.processes.values()) > 3:
                world.kill(name)
            case 1 if not world.processes[name].alive:
                world.start(name)
            case 2 if world.processes[name].alive:
                world.stop(name)
                world.run(rng.uniform(100.0, 1_000.0))
                world.cont(name)
            case 3:
                some = rng.sample(world.names, 2)
                world.sever(some, [other for other in world.names if other not in some])
            case 4:
                world.heal()
        for key in range(4):
            world.ask(key, rng.choice(world.names), False)
        world.run(rng.uniform(100.0, 1_500.0))
    recorder.add(list(world.counts.values()))


EXPLORED: dict[str, tuple[Callable[[], System], Callable[[], System]]] = {
    "duties": (
        lambda: DutiesSystem(held=False, restarts=0),
        lambda: DutiesSystem(tries=4, copies=3, restarts=2, waits=30),
    ),
    "ledger": (LedgerSystem, lambda: LedgerSystem(writes=4, restarts=3, copies=4)),
    "membership": (MembershipSystem, MembershipSystem),
    "voters": (VotersSystem, lambda: VotersSystem(restarts=3, asked=3, copies=2)),
}


def play_explorer(name: str, recorder: Recorder) -> None:
    """Record how many states, moves and levels a bounded search and a random walk find.

    The states themselves are left out, because their digests contain identifiers.
    """
    searched, walked = EXPLORED[name]
    found, left = exhaustive_search(searched(), depth=40, most=EXHAUSTED_STATES)
    recorder.add(found.states, found.moves, found.depth, found.whole, len(left))
    found = random_walk(walked(), 1, WALK_STEPS, WALKED_MOVES)
    recorder.add(found.states, found.moves, found.depth, bool(found.broken))


def play_balancer(seed: str, recorder: Recorder) -> None:
    """Run the decision module with random events; `Balancer.handle` is observed."""
    BalancerDriver(int(seed)).run(BALANCER_EVENTS)


def play_controller(seed: str, recorder: Recorder) -> None:
    """Run the delay controller alone with random answers and failures."""
    rng = random.Random(f"controller {seed}")
    controller, now, aim_ms = DelayController(), 0.0, rng.choice((50.0, 400.0, 3_000.0))
    load = 1.0
    for _ in range(CONTROLLER_SAMPLES):
        now += rng.expovariate(1.0 / rng.choice((1.0, 10.0, 100.0)))
        load = min(max(load * rng.uniform(0.9, 1.1), 0.2), 4.0)
        match rng.randrange(4):
            case 0:
                recorder.add(now, controller.retry_probability(now))
            case 1:
                recorder.add(now, controller.window(rng.uniform(1.0, 8.0), now), controller.shed_share(now))
            case _:
                controller.record_answer(
                    aim_ms * load * rng.expovariate(2.0), aim_ms, now, rng.random() < 0.9
                )
                recorder.add(now, controller.allowed_rate, controller.integral, controller.tuned_rate)
