"""Tests of the release controller with members that fail to report or to apply orders, and of take-overs."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from msgspec.msgpack import decode, encode

from dunlinloft.fleet.leases.table_rows import MAX_VALUE_BYTES
from dunlinloft.fleet.releases.controller import ReleaseController, ReleaseRejected
from dunlinloft.fleet.releases.follower import ObservedServer, ReleaseFollower
from dunlinloft.fleet.releases.messages import Order, Plan, ReleaseState, Tally
from dunlinloft.fleet.releases.request import InvalidReleaseRequest, ReleaseRequest
from dunlinloft.fleet.releases.traffic import MemberTally


class ReleaseWorld:
    """Simulates members that apply orders and count, a state table that commits late, and faulty servers."""

    def __init__(
        self, seed: int = 1, members: int = 6, servers: int = 12, new: int = 4, rate: float = 15.0
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate  # calls/s of each member
        self.rows: list[Plan] = []
        self.writing: list[Plan] = []
        self.token = 5
        self.commits = True  # if False, rows are lost with their primary
        self.controller = self.new_controller()
        self.controller.start(self.token, None, 0.0)
        self.servers = {
            n: ObservedServer(1 + n % 3, 1000.0 if n < new else 0.0, 1.0, False) for n in range(servers)
        }
        self.members = {f"m{n}": ReleaseFollower(0) for n in range(members)}
        for member in self.members.values():
            member.set_servers(dict(self.servers))
        self.not_reporting: set[str] = set()
        self.not_applying: set[str] = set()
        self.failure_share = 0.0  # of the new servers, in addition to that of all servers
        self.slowness = 1.0  # factor of the new servers' latency
        self.shares: list[float] = []

    def new_controller(self) -> ReleaseController:
        return ReleaseController(self.write, int, lambda: 0)

    def write(self, plan: Plan) -> None:
        assert len(plan.encode()) <= MAX_VALUE_BYTES
        self.writing.append(plan)

    def complete_writes(self) -> None:
        for plan in self.writing:
            if self.commits:
                self.rows.append(plan)
            self.controller.write_completed(self.commits)
        self.writing = []

    def call(self, member: ReleaseFollower) -> None:
        share = member.order.share if member.order.release_id else 1.0
        server_id = self.rng.randrange(len(self.servers))
        if member.is_new(server_id) and self.rng.random() > min(1.0, share * len(self.servers) / 4.0):
            server_id = self.rng.randrange(4, len(self.servers))
        new = server_id < 4
        failed = self.rng.random() < (self.failure_share if new else 0.0) + 0.002
        latency_ms = 50.0 * self.rng.lognormvariate(0.0, 0.7) * (self.slowness if new else 1.0)
        member.attempt_completed(server_id, 9, "error" if failed else "good", latency_ms)

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        start = self.now
        end = self.now + 1000.0 * for_s
        while self.now < end and not until():
            self.now += 500.0
            for name, member in self.members.items():
                for _ in range(int(self.rate / 2.0)):
                    self.call(member)
                if name not in self.not_applying:
                    member.apply_order(self.controller.order, 0.0, self.now)
            tallies = [
                MemberTally(name, 1, 200.0, as_received(member.tally()))
                for name, member in self.members.items()
                if name not in self.not_reporting
            ]
            self.controller.evaluate(tallies, len(self.members), self.now)
            self.complete_writes()
            self.shares.append(self.controller.order.share if self.controller.order.release_id else 1.0)
        return (self.now - start) / 1000.0

    def state(self) -> str:
        return self.rows[-1].state if self.rows else ""

    def begin(self, bake_s: float = 5.0) -> None:
        self.controller.start_release(ReleaseRequest(started_since_ms=1000.0, bake_s=bake_s), "anna", "")
        self.complete_writes()


def as_received(tally: Tally) -> Tally:
    """Return a copy, as received over the network."""
    return decode(encode(tally), type=Tally)


def test_a_good_build_completes_all_stages_and_a_bad_one_is_rolled_back() -> None:
    for seed in range(12):
        world = ReleaseWorld(seed)
        world.begin()
        world.run(200.0, lambda w=world: w.state() == ReleaseState.DONE)  # type: ignore[misc]
        assert world.state() == ReleaseState.DONE, f"seed {seed}: {world.controller.status()}"
        assert world.shares == sorted(world.shares[:1] + world.shares[1:-1]) + world.shares[-1:]
    for seed, (fails, slow) in enumerate([(1.0, 1.0), (0.3, 1.0), (0.0, 3.0), (0.1, 1.0)]):
        world = ReleaseWorld(seed)
        world.failure_share = fails
        world.slowness = slow
        world.begin()
        world.run(200.0, lambda w=world: w.state() == ReleaseState.ROLLED_BACK)  # type: ignore[misc]
        assert world.state() == ReleaseState.ROLLED_BACK, (fails, slow)
        assert world.shares[-1] == 0.0 and max(world.shares[1:]) < 1.0


def test_the_controller_waits_with_a_reason_for_members_that_do_not_report_or_apply_the_order() -> None:
    for fault in ("not_reporting", "not_applying"):
        world = ReleaseWorld(3)
        world.begin()
        world.run(2.0)
        getattr(world, fault).add("m2")
        world.controller.command("skip", "anna", "")
        world.complete_writes()
        world.run(60.0)
        assert world.rows[-1].stage == 1 and world.controller.waiting_for
        assert ("5 of 6 members" in world.controller.waiting_for) == (fault == "not_reporting")
        getattr(world, fault).clear()
        world.run(200.0, lambda w=world: w.state() == ReleaseState.DONE)  # type: ignore[misc]
        assert world.state() == ReleaseState.DONE


def test_the_controller_waits_and_reports_the_number_of_calls_if_there_is_too_little_traffic() -> None:
    world = ReleaseWorld(4, members=2, rate=2.0)
    world.begin()
    world.run(60.0)
    assert world.rows[-1].stage == 0 and "20 are required" in world.controller.waiting_for


def test_a_successor_continues_a_rollback_that_is_not_stored_in_the_plan() -> None:
    world = ReleaseWorld(5)
    world.begin()
    world.run(2.0)
    world.failure_share = 1.0
    world.commits = False  # no row is committed from now on: the primary is about to be replaced
    world.run(60.0, lambda: world.controller.order.share == 0.0)
    world.run(1.0)
    assert world.state() == ReleaseState.BAKING and world.controller.order.share == 0.0
    former = world.controller
    world.controller = world.new_controller()
    world.commits = True
    world.controller.start(world.token + 1, world.rows[-1], world.now)
    world.failure_share = 0.0  # the successor would detect no harm
    since = len(world.shares)
    world.run(30.0, lambda: world.state() == ReleaseState.ROLLED_BACK)
    assert world.state() == ReleaseState.ROLLED_BACK
    assert {m.order.share for m in world.members.values()} == {0.0} and set(world.shares[since + 1 :]) <= {
        0.0
    }
    member = world.members["m0"]
    delayed = Order(5, 99, 1, 0.5, 1000.0, (), True)  # of the former controller
    member.apply_order(delayed, 0.0, world.now)
    assert member.order.token == world.token + 1 and member.order.share == 0.0
    assert former.order.token == 5


def test_a_successor_does_not_take_the_outdated_order_of_a_suspended_member_for_a_rollback() -> None:
    world = ReleaseWorld(10)
    world.begin(3.0)
    world.run(60.0, lambda: world.rows[-1].stage == 1)
    world.not_applying.add("m4")
    world.controller.command("skip", "anna", "")
    world.complete_writes()
    world.run(3.0)
    world.controller = world.new_controller()
    world.controller.start(6, world.rows[-1], world.now)
    world.run(2.0)
    assert world.controller.order.share == world.rows[-1].share == 0.25
    world.not_applying.clear()
    world.run(200.0, lambda: world.state() == ReleaseState.DONE)
    assert world.state() == ReleaseState.DONE


def test_a_successor_without_a_majority_of_tallies_orders_nothing() -> None:
    world = ReleaseWorld(6)
    world.begin()
    world.run(3.0)
    world.controller = world.new_controller()
    world.controller.start(6, world.rows[-1], world.now)
    world.not_reporting = {"m0", "m1", "m2"}
    world.run(30.0)
    assert not world.controller.order.release_id and "3 of 6 members" in world.controller.waiting_for


def test_a_build_that_crashes_before_it_is_warm_is_rolled_back() -> None:
    world = ReleaseWorld(7, rate=0.0)
    world.begin()
    for n in range(1, 6):
        world.run(2.0)
        for member in world.members.values():
            member.set_servers(
                {k: ObservedServer(1, 1000.0 + n if k == 1 else 0.0, 1.0, True) for k in range(12)}
            )
    world.run(5.0)
    assert (
        world.rows[-1].state in (ReleaseState.ROLLING_BACK, ReleaseState.ROLLED_BACK)
        and "started once more" in world.rows[-1].reason
    )


def test_a_rollback_gives_old_servers_no_more_than_their_peak_rate() -> None:
    world = ReleaseWorld(8)
    world.begin(2.0)
    world.run(200.0, lambda: world.rows[-1].stage == 3)
    world.slowness = 5.0
    for member in world.members.values():  # the platform has drained half of the old servers
        member.set_servers({n: s for n, s in world.servers.items() if n < 8})
    world.servers = {n: s for n, s in world.servers.items() if n < 8}
    world.run(60.0, lambda: world.rows[-1].state == ReleaseState.ROLLING_BACK)
    world.run(10.0)
    assert world.rows[-1].state == ReleaseState.ROLLING_BACK and world.controller.capacity_short
    assert 0.1 < world.controller.order.share < 0.6
    world.failure_share = (
        1.0  # now the new build takes no load; requests beyond the old servers' capacity are refused by worth
    )
    world.run(30.0, lambda: world.state() == ReleaseState.ROLLED_BACK)
    assert world.state() == ReleaseState.ROLLED_BACK


def test_operators_commands_are_checked_and_stored_with_operator_and_reason() -> None:
    world = ReleaseWorld(9)
    with pytest.raises(ReleaseRejected, match=r"^there is no release$"):
        world.controller.command("pause", "", "")
    world.begin()
    with pytest.raises(ReleaseRejected, match="one at a time"):
        world.controller.start_release(ReleaseRequest(server_names=("a1",)), "", "")
    with pytest.raises(InvalidReleaseRequest, match="expected one of pause, resume"):
        world.controller.command("stop", "", "")
    for command, state in (
        ("pause", "paused"),
        ("resume", ReleaseState.BAKING),
        ("halt", "halted"),
        ("abort", ReleaseState.ROLLING_BACK),
    ):
        world.controller.command(command, "otto", "because")
        world.complete_writes()
        assert (world.rows[-1].state, world.rows[-1].changed_by, world.rows[-1].reason) == (
            state,
            "otto",
            "because",
        )
    with pytest.raises(ReleaseRejected, match="is being rolled back"):
        world.controller.command("resume", "otto", "")
