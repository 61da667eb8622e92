"""Helpers for the lease tests: simulated worlds, fault injection, and queries of their state."""

from __future__ import annotations

from dunlinloft.fleet.leases.manager import LeaseManager
from lab.virtual.duties import Process, World

TERM_MS = 3000.0  # lease term, the default of `World`
# Parts of the texts by which the world's oracle reports a violated invariant.
TWO_LEADERS = "is held by"
OUTDATED_TOKEN = "token"


def all_roles_led(world: World) -> bool:
    """Return whether each role has a leader that may act now."""
    return all(world.holders(duty) for duty in world.duties)


def world_with_leaders(
    seed: int, core: type[LeaseManager] = LeaseManager, members: int = 8, voters: int = 5
) -> World:
    """Return a world that has run until each role has a leader."""
    world = World(seed, members, voters, core=core)
    assert world.run(30_000.0, lambda: all_roles_led(world)) < 30_000.0, f"a role has no leader, seed {seed}"
    return world


def partition(world: World, senders: list[str], receivers: list[str], both_directions: bool = True) -> None:
    """Drop messages from `senders` to `receivers`, and in the other direction if `both_directions`."""
    for a in senders:
        for b in receivers:
            world.cut.add((a, b))
            if both_directions:
                world.cut.add((b, a))


def voters_without_memory(world: World, exclude: str) -> int:
    """Return how many voters, except `exclude`, are dead or have not recovered their memory."""
    others = (world.processes[name] for name in world.voters if name != exclude)
    return sum(not p.alive or not has_recovered(p) for p in others)


def has_recovered(process: Process) -> bool:
    """Return whether a voter knows the tokens that were issued and has the state table's base."""
    member = process.core.member
    if member.acceptor is None or not member.acceptor.recovered():
        return False
    return member.replica is None or member.replica.ready


def inject_random_faults(world: World, duration_ms: float, allow_memory_loss: bool = False) -> None:
    """Inject random kills, restarts, suspensions, partitions, message loss, replays and handovers.

    The order of draws from the world's random source determines the runs of the tests' seeds.
    """
    rng, end = world.rng, world.now + duration_ms
    # Unless memory loss is allowed, a majority of the voters keeps its memory at any time.
    max_without_memory = len(world.voters) if allow_memory_loss else (len(world.voters) - 1) // 2
    while world.now < end:
        name = rng.choice(world.names)
        other = rng.choice(world.names)
        process = world.processes[name]
        match rng.randrange(9):
            case 0 | 2 if name in world.voters and voters_without_memory(world, name) >= max_without_memory:
                pass
            case 0 if process.alive:
                world.kill(name)
            case 1 if not process.alive:
                world.start(name)
            case 2 if process.alive:
                world.kill(name)
                world.start(name)
            case 3 if process.alive and not process.stopped:
                world.stop(name)
                world.after(rng.choice((300.0, 3_500.0, 8_000.0)), world.cont, name)
            case 4:
                partition(world, [name], rng.sample(world.names, len(world.names) // 2), rng.random() < 0.5)
            case 5:
                world.cut.clear()
            case 6:
                world.loss = rng.choice((0.0, 0.05, 0.3))
            case 7:
                world.replay()
            case 8:
                world.hand_over(rng.choice(world.duties), rng.choice(("", other)))
        for holder in world.holders(world.duties[0]):
            if rng.random() < 0.4:  # suspended leaders are the most likely to violate an invariant
                world.stop(holder)
                world.after(rng.choice((1_000.0, 4_000.0)), world.cont, holder)
        world.run(rng.random() * 900.0)


def write_rows(world: World, duration_ms: float) -> None:
    """Write rows at regular intervals for this time."""
    for _ in range(int(duration_ms / 150.0)):
        world.table_oracle.enter(f"k{world.rng.randrange(5)}")
        world.run(150.0)
