"""The operators' worst days for the control side, each brought about in the simulated world."""

from __future__ import annotations

import os
import random

import pytest

from dunlinloft.coordination import view_planning
from dunlinloft.coordination.actions import Action, Reply, Send
from dunlinloft.coordination.calls import Calls
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.chain_messages import AppendEntries, PredecessorPosition
from dunlinloft.coordination.history import is_next_entry, next_entry, state_after
from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ChainState
from dunlinloft.coordination.views import AcceptedProposal, Member, ProposalNumber, View, initial_view
from dunlinloft.coordination.voting_messages import Accept, Accepted, Prepare, PrepareResponse
from dunlinloft.validation import validate
from lab.control.cluster import Cluster
from lab.control.operators import Operator, small_order
from lab.control.rules import Broken
from lab.control.troubles import Trouble, Troubles
from lab.control.world import deployment_of, play, played

SEEDS = int(os.environ.get("WORLD_SEEDS", "28"))  # `dunlinloft explore control` plays thousands
ACK_MS = 4_000.0  # `ack_timeout_ms`
SYNC_MS = 4_000.0  # `sync_timeout_s`


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_schedule_breaks_a_rule(seed: int) -> None:
    assert play(seed) > 0


def _running(seed: int, size: int = 3, operators: int = 1) -> tuple[Cluster, list[Operator]]:
    cluster = Cluster(seed, size)
    working = [Operator(cluster) for _ in range(operators)]
    for operator in working:
        cluster.after(300.0, operator.change)
        operator.read()
    cluster.run(2_000.0)
    return cluster, working


def _acked(operators: list[Operator]) -> int:
    return sum(operator.acked for operator in operators)


def _goes_on(cluster: Cluster, operators: list[Operator], within_ms: float = ACK_MS) -> None:
    before = _acked(operators)
    cluster.run(within_ms)
    assert _acked(operators) > before, "no order was acknowledged"


# 1. A control machine is cut off for some twenty seconds.


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_machine_that_is_cut_off_for_twenty_seconds_answers_nothing_old_and_takes_nothing(
    place: int,
) -> None:
    cluster, operators = _running(21 + place)
    address = cluster.seeds[place]
    for other in cluster.seeds:
        if other != address:
            cluster.cut(address, other)
    cluster.run(3_000.0)
    statuses: list[int] = []

    def taker(reply: Reply | None) -> None:
        if reply is not None:
            statuses.append(reply.status)

    for number in range(14):
        cluster.call(address, None, taker)
        cluster.call(address, small_order(9_000 + number, operators[0].version, "at the one cut off"), taker)
        cluster.run(1_200.0)
        contact = cluster.machines[address].replica
        assert contact is not None
        assert contact.view_in_contact(cluster.now) is None, "it acknowledges no heartbeat"
    assert set(statuses) == {503}
    assert len(statuses) == 28
    cluster.heal()
    _goes_on(cluster, operators)


def test_orders_go_on_elsewhere_while_the_head_is_cut_off() -> None:
    cluster, operators = _running(31)
    for other in cluster.seeds[1:]:
        cluster.cut(cluster.seeds[0], other)
    before = _acked(operators)
    cluster.run(20_000.0)
    assert _acked(operators) - before > 20
    assert operators[0].worst_ms < ACK_MS


# 2. Two operators under one number; an order sent again after a lost answer.


@pytest.mark.parametrize("seed", range(4))
def test_of_two_orders_on_one_version_one_wins_and_it_is_acknowledged_again_wherever_it_is_sent(
    seed: int,
) -> None:
    cluster = Cluster(seed)
    cluster.run(500.0)
    answers: dict[str, list[int]] = {"one": [], "other": []}
    orders = {name: small_order(5, 0, name) for name in answers}
    for name, order in orders.items():
        cluster.order(order, answers[name].append)
    cluster.run(2_000.0)
    assert sorted(status for (status,) in answers.values()) == [200, 412]
    winner = next(name for name, (status,) in answers.items() if status == 200)
    cluster.kill(cluster.seeds[0])
    cluster.run(2_000.0)
    for name, order in orders.items():
        cluster.order(order, answers[name].append)
    cluster.run(3_000.0)
    assert answers[winner] == [200, 200]
    assert [a for name, a in answers.items() if name != winner] == [[412, 412]]


def test_what_was_refused_stays_refused_when_its_base_becomes_current() -> None:
    cluster = Cluster(5)
    cluster.run(500.0)
    early = small_order(9, 4, "early")
    statuses: list[int] = []
    cluster.order(early, statuses.append)
    cluster.run(500.0)
    cluster.order(small_order(4, 0), lambda _: None)
    cluster.run(500.0)
    cluster.order(early, statuses.append)  # a copy that comes late
    cluster.run(500.0)
    assert statuses == [412, 412]


# 3. A second loss right after a repair or a replacement; a leaver with the only copy.


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_a_disk_that_is_lost_after_a_replacement_leaves_a_majority(
    seed: int, planned: bool, slow: bool
) -> None:
    cluster, operators = _running(40 + seed)
    rng = random.Random(seed)
    first, gone, second = rng.sample(cluster.seeds, 3)
    if slow:
        cluster.machines[first].sync_x = 60.0
    newcomer = "10.0.1.1:7000"
    if planned:
        cluster.add(newcomer)
        cluster.run(2_000.0)
        cluster.leave(gone, 8_000.0)
        cluster.run(rng.uniform(300.0, 1_000.0))
        cluster.remove(gone)
    else:
        cluster.remove(gone)
        cluster.run(2_000.0)
        cluster.add(newcomer)
    cluster.run(rng.uniform(4_000.0, 5_000.0))
    view = _view(cluster)
    assert {member.address for member in view.roster} == {first, second, newcomer}
    cluster.wipe(second)
    _goes_on(cluster, operators)
    cluster.start(second)
    cluster.run(SYNC_MS)
    cluster.machines[first].sync_x = 1.0
    cluster.kill(first)
    _goes_on(cluster, operators)


def _view(cluster: Cluster) -> View:
    views = [m.replica.view for m in cluster.machines.values() if m.replica is not None]
    return max((view for view in views if view is not None), key=lambda view: view.epoch)


def test_a_replacement_is_one_view_and_the_roster_stays_odd() -> None:
    cluster, operators = _running(51)
    cluster.add("10.0.1.1:7000")
    cluster.run(2_000.0)
    before = _view(cluster)
    assert len(before.roster) == 3, "a newcomer waits until somebody goes"
    cluster.leave(cluster.seeds[1], 8_000.0)
    cluster.run(300.0)
    after = _view(cluster)
    assert after.epoch == before.epoch + 1
    assert {member.address for member in after.roster} == {
        cluster.seeds[0],
        cluster.seeds[2],
        "10.0.1.1:7000",
    }
    assert cluster.machines[cluster.seeds[1]].replica is None, "it has ended"
    _goes_on(cluster, operators)


def test_a_leaver_with_the_only_copy_stays_until_others_hold_it() -> None:
    cluster, operators = _running(52)
    head, second, third = cluster.seeds
    cluster.kill(third)
    cluster.run(1_500.0)
    cluster.wipe(second)  # one loss too many: the head is alone with what was acknowledged
    cluster.leave(head, 60_000.0)
    cluster.run(3_000.0)
    assert cluster.machines[head].replica is not None, "it stays"
    cluster.start(third)
    cluster.start(second)
    cluster.run(SYNC_MS)
    assert cluster.machines[head].replica is None, "others hold it: it has ended"
    assert cluster.rules.newest_acked == operators[0].version
    _goes_on(cluster, operators)


def test_the_roster_grows_and_shrinks_so_that_its_size_stays_odd() -> None:
    for further, size in ((1, 3), (2, 5), (3, 5), (5, 7)):
        cluster = Cluster(60 + further, 3, further=further)
        cluster.run(3_000.0)
        assert len(_view(cluster).roster) == size
    cluster = Cluster(70, 3, further=2)
    cluster.run(3_000.0)
    for gone in cluster.seeds[:2]:
        cluster.remove(gone)
        cluster.run(4_000.0)
    assert len(_view(cluster).roster) == 3


# 4. Hundreds of changes; a member that was away.


@pytest.mark.parametrize("how", ["kill", "cut", "freeze"])
def test_a_member_that_missed_hundreds_of_changes_catches_up_and_never_leads_with_old_state(how: str) -> None:
    cluster = Cluster(80)
    cluster.run(500.0)
    away, others = cluster.seeds[0], cluster.seeds[1:]
    version, taken = 0, 0

    def changes(number: int) -> None:
        nonlocal version, taken
        for _ in range(number):
            statuses: list[int] = []
            cluster.order(small_order(version + 1, version), statuses.append)
            cluster.run(60.0)
            while not statuses:
                cluster.run(20.0)
            assert statuses == [200]
            version, taken = version + 1, taken + 1

    changes(20)
    for other in others:
        cluster.cut(away, other)
    if how == "kill":
        cluster.kill(away)
    elif how == "freeze":
        cluster.freeze(away)
    changes(380)
    cluster.heal()
    if how == "kill":
        cluster.start(away)
    elif how == "freeze":
        cluster.thaw(away)
    cluster.run(SYNC_MS)
    disk = cluster.machines[away].durable
    assert disk is not None
    assert disk.state.version == version
    for other in others:  # relieved at once: the one that was away has to lead
        cluster.kill(other)
    cluster.run(900.0)
    cluster.start(others[1])
    cluster.run(2_000.0)
    changes(5)


# What the review found in the code.


def _held(link_view: View, me: Member, state: ChainState) -> tuple[ChainReplica, list[Action]]:
    """A chain link whose disk answers at once."""
    actions: list[Action] = []
    durable = DurableState(me.incarnation, state=state, committed_digest=state.chain_digest)
    link = ChainReplica(me, durable, actions.append, lambda _, then: then(), 2)
    link.enter_epoch(link_view)
    return link, actions


def test_a_head_alone_commits_nothing_and_is_not_settled_by_the_length_of_its_chain() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
    head = view.chain[0]
    link, _ = _held(View(2, view.roster, (head,), 1), head, ChainState())
    assert not link.fully_committed
    assert not link.is_tail
    link.append(next_entry(ChainState(), 1, small_order(1, 0)))
    assert link.committed.sequence == 0
    # A longer chain, whose second member has still to catch up, changes nothing.
    link.enter_epoch(View(3, view.roster, view.chain, 1))
    assert not link.fully_committed


def test_an_entry_that_continues_another_history_is_not_taken() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
    head, tail = view.chain
    ours = state_after(ChainState(), next_entry(ChainState(), 1, small_order(1, 0, "ours")))
    theirs = state_after(ChainState(), next_entry(ChainState(), 1, small_order(1, 0, "theirs")))
    link, actions = _held(view, tail, ours)
    entry = next_entry(theirs, 2, small_order(2, 1))
    assert not is_next_entry(ours, entry)
    link.on_append_entries(AppendEntries(head, 1, (entry,)))
    assert link.state == ours
    assert any(isinstance(action, Send) for action in actions), "it says what it holds"


def test_a_ballot_of_a_former_life_is_not_used_again() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
    me, second, third = view.roster
    ballots = set()
    for life in range(2):
        # The disk has not taken the promise: after the restart it is unknown.
        durable = DurableState(me.incarnation, view=view)
        replica = Replica(me, True, durable, (), 1, validate, random.Random(life), 0.0)
        replica.start(None)
        replica._voting.propose(view, View(2, view.roster, (me, second), 2))
        prepares = [a.message for a in replica._actions if isinstance(a, Send)]
        ballots |= {message.proposal_number for message in prepares if isinstance(message, Prepare)}
        assert third.address in {a.address for a in replica._actions if isinstance(a, Send)}
    assert len(ballots) == 2


def test_a_replica_that_accepted_a_later_view_has_no_lease_in_this_one() -> None:
    cluster = Cluster(91)
    cluster.run(1_000.0)
    me, second, _ = (cluster.machines[address].replica for address in cluster.seeds)
    assert me is not None
    assert second is not None
    assert me.view is not None
    assert me.has_lease(cluster.now)
    later = View(2, me.view.roster, me.view.chain[1:], 2)
    me.handle(Accept(second.me, ProposalNumber(9, "second"), later), cluster.now)
    # The third still echoes what it hears, in this epoch; with the second it decided the later view.
    assert not me.has_lease(cluster.now)


def test_an_acceptance_of_a_former_lifes_ballot_decides_nothing() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
    me, second, third = view.roster
    replica = Replica(
        me, True, DurableState(me.incarnation, view=view), (), 1, validate, random.Random(1), 0.0
    )
    replica.start(None)
    wanted = View(2, view.roster, (me, second), 2)
    ballot = replica._voting.propose(view, wanted)
    for voter in (second, third):
        replica.handle(PrepareResponse(voter, 2, ballot, None), 1.0)
    former = type(ballot)(ballot.number, f"{me.id}/another life")
    for voter in (second, third):
        replica.handle(Accepted(voter, 2, former), 2.0)
    assert replica.view == view
    for voter in (second, third):
        replica.handle(Accepted(voter, 2, ballot), 3.0)
    assert replica.view == wanted


def test_a_late_confirmation_for_a_former_life_confirms_nothing() -> None:
    nonces = set()
    for life in range(2):
        view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
        link, _ = _held(view, view.chain[1], ChainState())
        calls = Calls(view.chain[1], link, validate, lambda _: None, lambda *_: None, random.Random(life))
        nonces.add(calls._changes._confirmation._last_nonce)
    assert len(nonces) == 2


# Planted faults: each checker of the world catches its own.


def _caught(message: str, seeds: range) -> None:
    for seed in seeds:
        try:
            play(seed)
        except Broken as broken:
            if message in str(broken):
                return
    pytest.fail(f"not caught: {message}")


def _without(seed: int, place: int) -> Cluster:
    """Three members, of which the one at a place is down, and the others go on without it."""
    cluster = Cluster(seed)
    cluster.run(500.0)
    cluster.kill(cluster.seeds[place])
    cluster.run(1_500.0)
    return cluster


def _order_at_a_head_alone() -> None:
    """One is down, another's disk has stalled: the two left agree on a chain of one."""
    cluster = _without(90, 2)
    head, second, _ = cluster.seeds
    cluster.stall(second, True)
    for number in range(80):
        for version in range(1, 9):
            cluster.call(head, small_order(version, version - 1), lambda _: None)
        cluster.run(20.0)
        if number == 35:
            cluster.stall(second, False)  # it votes for the chain without it, and is well again


def test_a_head_alone_acknowledges_nothing() -> None:
    _order_at_a_head_alone()


def test_a_chain_whose_length_stands_for_copies_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def alone(self: ChainReplica) -> bool:
        return self.synced and self._successor is None

    monkeypatch.setattr(ChainReplica, "is_tail", property(alone))
    # Chains of one are not proposed any more: that they are is part of the fault.
    monkeypatch.setattr(view_planning, "can_commit", lambda chain, _: bool(chain))
    with pytest.raises(Broken, match="committed with 1 copies"):
        _order_at_a_head_alone()


def test_a_chain_that_never_catches_up_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "on_install_snapshot", lambda *_: None)
    _caught("although nothing fails any more", range(0, 40))


def test_the_shortest_schedule_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgetful(self: ChainReplica, offer: PredecessorPosition) -> None:
        """Nobody finds itself equal: after the first loss there is no tail."""

    monkeypatch.setattr(ChainReplica, "on_predecessor_position", forgetful)
    result = played(1)
    assert "although nothing fails any more" in result.broken
    assert len(result.schedule) <= 1


def test_a_schedule_repeats() -> None:
    schedule = (Trouble(3_000.0, "wipe", 700.0, 1), Trouble(3_300.0, "split", 9_000.0, 0))
    assert play(8, schedule) == play(8, schedule)
    assert deployment_of(8) == deployment_of(1)


def test_no_more_disks_are_lost_than_may_be() -> None:
    cluster = Cluster(1)
    troubles = Troubles(cluster, 1)
    for place in range(3):
        troubles.begin(Trouble(0.0, "wipe", 100.0, place))
    assert sum(machine.durable is None for machine in cluster.machines.values()) == 1
    cluster.run(300.0)
    cluster.run(SYNC_MS + 500.0)
    troubles.begin(Trouble(0.0, "wipe", 100.0, 2))
    assert cluster.machines[cluster.seeds[2]].durable is None


def test_a_ballot_that_stopped_halfway_is_brought_to_an_end() -> None:
    """Seed 4424: two had accepted a view that nobody wanted any more, and confirmed nothing ever after."""
    split = Trouble(12_503.55136678152, "split", 2_506.0209163933077, 58_310)
    cut = Trouble(13_454.102252139757, "cut_all", 1_263.5152376472624, 15_814)
    assert play(4_424, (split, cut)) > 0


def test_a_disk_that_is_lost_between_commit_and_answer_is_no_copy_too_few() -> None:
    """Seed 4789: committed on two disks, then one was lost, then the operator had its answer."""
    cut = Trouble(5_194.2843714117225, "cut", 4_557.240223571141, 57_656)
    assert play(4_789, (cut, Trouble(6_012.034361357097, "wipe", 513.8083944110192, 56_137))) > 0


def test_a_member_outside_the_chain_that_holds_everything_is_found_when_the_chain_is_lost() -> None:
    """Seed 4508: a stalled disk is left out of the chain; then its only complete member loses its own."""
    restart = Trouble(4_699.538375753763, "restart", 2_324.9745928472457, 55_389)
    stall = Trouble(5_660.325437332149, "stall", 4_560.514303204171, 8_537)
    wipe = Trouble(7_506.711202275268, "wipe", 4_071.822066263923, 51_142)
    assert play(4_508, (restart, stall, wipe)) > 0


def test_a_disk_that_is_lost_before_the_commit_is_no_copy_too_few() -> None:
    """Seed 21547: on its way to a frozen tail as the head lost its disk; the tail commits once it is back."""
    cluster = _without(92, 1)
    head, _, tail = cluster.seeds
    cluster.freeze(tail)
    cluster.call(head, small_order(1, 0), lambda _: None)
    cluster.run(50.0)
    cluster.remove(head)
    cluster.thaw(tail)
    cluster.run(100.0)
    left = cluster.machines[tail].replica
    assert left is not None
    assert left.chain.committed.sequence == 1
    cluster.rules._lost_held.clear()
    with pytest.raises(Broken, match="committed with 1 copies"):
        cluster.rules.first_committed(left.chain.committed, cluster.machines)


def test_a_chain_that_can_commit_nothing_is_not_proposed() -> None:
    """Seed 3549: a chain of one dropped two members that held everything; then that one lost its disk."""
    assert play(3_549) > 0


def _with_a_member_outside() -> tuple[Cluster, Replica, Member]:
    """A chain of a complete head and a member behind it that is catching up; and one outside, complete."""
    cluster = _without(91, 2)
    _, second, third = cluster.seeds
    for version in range(1, 9):
        cluster.order(small_order(version, version - 1), lambda _: None)
        cluster.run(300.0)
    cluster.stall(second, True)
    cluster.start(third)
    for _ in range(4_000):
        cluster.run(0.5)
        behind = cluster.machines[third].replica
        assert behind is not None
        assert behind.view is not None
        view = behind.view
        if view.detached and view.position_of(behind.me.id) and behind.chain.epoch == view.epoch:
            assert [member.address for member in view.detached] == [second]
            assert not behind.chain.synced
            return cluster, behind, view.detached[0]
    raise AssertionError("no view left a complete member outside")


def _order_beside_a_witness() -> None:
    """The member behind says that nothing was committed, while the head that has everything still runs."""
    cluster, behind, outside = _with_a_member_outside()
    view = behind.view
    assert view is not None
    wanted = View(view.epoch + 1, view.roster, (outside, behind.me), 1, (), behind.me.id)
    accept = Accept(behind.me, ProposalNumber(50, behind.me.id), wanted)
    cluster._perform(cluster.machines[behind.me.address], behind.handle(accept, cluster.now))
    for version in range(9, 15):
        cluster.order(small_order(version, version - 1), lambda _: None)
        cluster.run(300.0)
    cluster.stall(outside.address, False)
    cluster.run(5_000.0)


def test_a_witness_stops_the_chain_before_others_rely_on_it() -> None:
    _order_beside_a_witness()


def test_a_witness_that_goes_on_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChainReplica, "seal_epoch", lambda _: True)
    with pytest.raises(Broken, match="after its witness had accepted"):
        _order_beside_a_witness()


def test_a_member_found_equal_is_no_witness_and_one_that_is_stays_stopped_after_a_restart() -> None:
    cluster, behind, outside = _with_a_member_outside()
    view = behind.view
    assert view is not None
    assert behind.chain.seal_epoch()
    assert not behind.chain.seal_epoch(), "it takes part no more, and knows no more"
    wanted = View(view.epoch + 1, view.roster, (outside, behind.me), 1, (), behind.me.id)
    durable = DurableState(
        behind.me.incarnation, view=view, accepted=AcceptedProposal(ProposalNumber(1, "x"), wanted)
    )
    again = Replica(behind.me, True, durable, (), 1, validate, random.Random(1), cluster.now)
    assert again.chain.epoch == 0
    head = cluster.machines[view.chain[0].address].replica
    assert head is not None
    assert not head.chain.seal_epoch(), "it holds what the epoch may have committed"


def test_a_machine_counts_as_lost_until_its_successor_has_had_its_time() -> None:
    """Seed 2905 lost two disks where one may be lost: the successor came after 5 s."""
    cluster = Cluster(1)
    troubles = Troubles(cluster, 1)
    cluster.run(500.0)
    troubles.begin(Trouble(0.0, "replace", 3.0 * SYNC_MS, 0))
    cluster.run(2.0 * SYNC_MS)
    troubles.begin(Trouble(0.0, "wipe", 100.0, 1))
    assert all(cluster.machines[address].durable is not None for address in cluster.seeds[1:])
    assert play(2_905) > 0
