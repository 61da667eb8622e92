"""The release controller among members that fail to report or to apply orders, and its successors."""

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


class Fleet:
    """Members that obey and count, a ledger that keeps rows a little later, and servers with their faults."""

    def __init__(self, seed: int = 1, members: int = 6, servers: int = 12, new: int = 4, rate: float = 15.0):
        self.rng, self.now, self.rate = random.Random(seed), 0.0, rate
        self.rows: list[Plan] = []
        self.writing: list[Plan] = []
        self.token, self.commits = 5, True
        self.controller = self.make()
        self.controller.start(self.token, None, 0.0)
        self.servers = {
            n: ObservedServer(1 + n % 3, 1000.0 if n < new else 0.0, 1.0, False) for n in range(servers)
        }
        self.members = {f"m{n}": ReleaseFollower(0) for n in range(members)}
        for member in self.members.values():
            member.set_servers(dict(self.servers))
        self.not_reporting: set[str] = set()
        self.not_applying: set[str] = set()
        self.fails, self.slow = 0.0, 1.0
        self.shares: list[float] = []

    def make(self) -> ReleaseController:
        return ReleaseController(self.write, int, lambda: 0)

    def write(self, plan: Plan) -> None:
        assert len(plan.encode()) <= MAX_VALUE_BYTES
        self.writing.append(plan)

    def complete_writes(self) -> None:
        """What was written is kept, or lost with its holder."""
        for plan in self.writing:
            if self.commits:
                self.rows.append(plan)
            self.controller.write_completed(self.commits)
        self.writing = []

    def call(self, member: ReleaseFollower) -> None:
        share = member.order.share if member.order.release_id else 1.0
        number = self.rng.randrange(len(self.servers))
        if member.is_new(number) and self.rng.random() > min(1.0, share * len(self.servers) / 4.0):
            number = self.rng.randrange(4, len(self.servers))
        new = number < 4
        failed = self.rng.random() < (self.fails if new else 0.0) + 0.002
        ms = 50.0 * self.rng.lognormvariate(0.0, 0.7) * (self.slow if new else 1.0)
        member.attempt_completed(number, 9, "error" if failed else "good", ms)

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        start, end = self.now, self.now + 1000.0 * for_s
        while self.now < end and not until():
            self.now += 500.0
            for name, member in self.members.items():
                for _ in range(int(self.rate / 2.0)):
                    self.call(member)
                if name not in self.not_applying:
                    member.apply_order(self.controller.order, 0.0, self.now)
            told = [
                MemberTally(name, 1, 200.0, member.tally())
                for name, member in self.members.items()
                if name not in self.not_reporting
            ]
            # What comes over the wire is a copy.
            told = [MemberTally(t.member, t.incarnation, t.age_ms, copied(t)) for t in told]
            self.controller.look(told, len(self.members), self.now)
            self.complete_writes()
            self.shares.append(self.controller.order.share if self.controller.order.release_id else 1.0)
        return (self.now - start) / 1000.0

    def state(self) -> str:
        return self.rows[-1].state if self.rows else ""

    def begin(self, bake_s: float = 5.0) -> None:
        self.controller.start_release(ReleaseRequest(started_since_ms=1000.0, bake_s=bake_s), "anna", "")
        self.complete_writes()


def copied(telling: MemberTally) -> Tally:
    return decode(encode(telling.tally), type=Tally)


def test_a_good_build_goes_through_all_stages_and_a_bad_one_goes_back_by_itself() -> None:
    for seed in range(12):
        fleet = Fleet(seed)
        fleet.begin()
        fleet.run(200.0, lambda f=fleet: f.state() == ReleaseState.DONE)  # type: ignore[misc]
        assert fleet.state() == ReleaseState.DONE, f"seed {seed}: {fleet.controller.status()}"
        assert fleet.shares == sorted(fleet.shares[:1] + fleet.shares[1:-1]) + fleet.shares[-1:]
    for seed, (fails, slow) in enumerate([(1.0, 1.0), (0.3, 1.0), (0.0, 3.0), (0.1, 1.0)]):
        fleet = Fleet(seed)
        fleet.fails, fleet.slow = fails, slow
        fleet.begin()
        fleet.run(200.0, lambda f=fleet: f.state() == ReleaseState.ROLLED_BACK)  # type: ignore[misc]
        assert fleet.state() == ReleaseState.ROLLED_BACK, (fails, slow)
        assert fleet.shares[-1] == 0.0 and max(fleet.shares[1:]) < 1.0


def test_whoever_is_missing_old_or_does_not_obey_makes_it_hold_and_say_why() -> None:
    for what in ("not_reporting", "not_applying"):
        fleet = Fleet(3)
        fleet.begin()
        fleet.run(2.0)
        getattr(fleet, what).add("m2")
        fleet.controller.command("skip", "anna", "")
        fleet.complete_writes()
        fleet.run(60.0)
        assert fleet.rows[-1].stage == 1 and fleet.controller.waiting_for
        assert ("5 of 6 members" in fleet.controller.waiting_for) == (what == "not_reporting")
        getattr(fleet, what).clear()
        fleet.run(200.0, lambda f=fleet: f.state() == ReleaseState.DONE)  # type: ignore[misc]
        assert fleet.state() == ReleaseState.DONE


def test_too_little_traffic_holds_and_says_how_much_was_seen() -> None:
    fleet = Fleet(4, members=2, rate=2.0)
    fleet.begin()
    fleet.run(60.0)
    assert fleet.rows[-1].stage == 0 and "20 are wanted" in fleet.controller.waiting_for


def test_a_successor_goes_on_taking_back_what_its_ledger_says_is_baking() -> None:
    fleet = Fleet(5)
    fleet.begin()
    fleet.run(2.0)
    fleet.fails, fleet.commits = 1.0, False  # from now on no row is kept: the holder is about to be replaced
    fleet.run(60.0, lambda: fleet.controller.order.share == 0.0)
    fleet.run(1.0)
    assert fleet.state() == ReleaseState.BAKING and fleet.controller.order.share == 0.0
    old, fleet.controller, fleet.commits = fleet.controller, fleet.make(), True
    fleet.controller.start(fleet.token + 1, fleet.rows[-1], fleet.now)
    fleet.fails, since = 0.0, len(fleet.shares)  # nothing would be found any more
    fleet.run(30.0, lambda: fleet.state() == ReleaseState.ROLLED_BACK)
    assert fleet.state() == ReleaseState.ROLLED_BACK
    assert {m.order.share for m in fleet.members.values()} == {0.0} and set(fleet.shares[since + 1 :]) <= {
        0.0
    }
    member = fleet.members["m0"]
    member.apply_order(Order(5, 99, 1, 0.5, 1000.0, (), True), 0.0, fleet.now)  # the former one's, held back
    assert member.order.token == fleet.token + 1 and member.order.share == 0.0
    assert old.order.token == 5


def test_a_successor_takes_no_member_that_stood_still_for_a_rollback() -> None:
    fleet = Fleet(10)
    fleet.begin(3.0)
    fleet.run(60.0, lambda: fleet.rows[-1].stage == 1)
    fleet.not_applying.add("m4")
    fleet.controller.command("skip", "anna", "")
    fleet.complete_writes()
    fleet.run(3.0)
    fleet.controller = fleet.make()
    fleet.controller.start(6, fleet.rows[-1], fleet.now)
    fleet.run(2.0)
    assert fleet.controller.order.share == fleet.rows[-1].share == 0.25
    fleet.not_applying.clear()
    fleet.run(200.0, lambda: fleet.state() == ReleaseState.DONE)
    assert fleet.state() == ReleaseState.DONE


def test_a_successor_without_a_majority_of_tallies_orders_nothing() -> None:
    fleet = Fleet(6)
    fleet.begin()
    fleet.run(3.0)
    fleet.controller = fleet.make()
    fleet.controller.start(6, fleet.rows[-1], fleet.now)
    fleet.not_reporting = {"m0", "m1", "m2"}
    fleet.run(30.0)
    assert not fleet.controller.order.release_id and "3 of 6 members" in fleet.controller.waiting_for


def test_a_build_that_falls_over_again_and_again_goes_back_though_it_is_never_warm() -> None:
    fleet = Fleet(7, rate=0.0)
    fleet.begin()
    for n in range(1, 6):
        fleet.run(2.0)
        for member in fleet.members.values():
            member.set_servers(
                {k: ObservedServer(1, 1000.0 + n if k == 1 else 0.0, 1.0, True) for k in range(12)}
            )
    fleet.run(5.0)
    assert (
        fleet.rows[-1].state in (ReleaseState.ROLLING_BACK, ReleaseState.ROLLED_BACK)
        and "started once more" in fleet.rows[-1].reason
    )


def test_the_old_servers_are_not_given_more_than_they_have_borne() -> None:
    fleet = Fleet(8)
    fleet.begin(2.0)
    fleet.run(200.0, lambda: fleet.rows[-1].stage == 3)
    fleet.slow = 5.0
    for member in fleet.members.values():  # the platform has drained half of the old ones meanwhile
        member.set_servers({n: s for n, s in fleet.servers.items() if n < 8})
    fleet.servers = {n: s for n, s in fleet.servers.items() if n < 8}
    fleet.run(60.0, lambda: fleet.rows[-1].state == ReleaseState.ROLLING_BACK)
    fleet.run(10.0)
    assert fleet.rows[-1].state == ReleaseState.ROLLING_BACK and fleet.controller.capacity_short
    assert 0.1 < fleet.controller.order.share < 0.6
    fleet.fails = 1.0  # then it bears nothing, and the module refuses by worth what the old ones can't take
    fleet.run(30.0, lambda: fleet.state() == ReleaseState.ROLLED_BACK)
    assert fleet.state() == ReleaseState.ROLLED_BACK


def test_what_operators_say_is_checked_and_kept_with_who_and_why() -> None:
    fleet = Fleet(9)
    with pytest.raises(ReleaseRejected, match=r"^there is no release here$"):
        fleet.controller.command("pause", "", "")
    fleet.begin()
    with pytest.raises(ReleaseRejected, match="one at a time"):
        fleet.controller.start_release(ReleaseRequest(server_names=("a1",)), "", "")
    with pytest.raises(InvalidReleaseRequest, match="one of pause, resume"):
        fleet.controller.command("stop", "", "")
    for what, state in (
        ("pause", "paused"),
        ("resume", ReleaseState.BAKING),
        ("halt", "halted"),
        ("abort", ReleaseState.ROLLING_BACK),
    ):
        fleet.controller.command(what, "otto", "because")
        fleet.complete_writes()
        assert (fleet.rows[-1].state, fleet.rows[-1].changed_by, fleet.rows[-1].reason) == (
            state,
            "otto",
            "because",
        )
    with pytest.raises(ReleaseRejected, match="goes back"):
        fleet.controller.command("resume", "otto", "")
