"""Membership: cost of a view of n members to a process, and the traffic between n members."""

from __future__ import annotations

import json
import time
from functools import partial
from typing import Any, cast

import msgspec

from dunlinloft.balancer.balancer import Balancer
from dunlinloft.fleet import interface as fleet_api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.membership.dissemination_queue import DisseminationQueue
from dunlinloft.fleet.messages import Header, Ping, State
from dunlinloft.fleet.wire import Wire
from dunlinloft.node.config import parse_config
from dunlinloft.node.fleet.peers import MemberIdentity, Peers
from dunlinloft.node.fleet.shared import membership_update
from dunlinloft.node.fleet.singleton_roles import MEMBERSHIP_INTERVAL_S
from dunlinloft.node.fleet_config import FleetConfig
from lab.capacity import sizes
from lab.capacity.model import TIMED, Experiment, Figure
from lab.capacity.tools import RecordingLoop, best_ms, held_bytes, mean_us, peak_bytes, rss_bytes
from lab.members import settled_fleet
from lab.virtual.fleet import Fleet

FLEET = "capacity"
PREFIX_BYTES = 5  # prefix of every message: the version and the fleet's name
CHUNK = 256  # members per message, so that the messages add little to the measured memory
MEASURED_MS = 30_000.0
PINGS = 200
encode, decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(State).decode


class Host:
    """The fleet code of node `n1`, without sockets, in a fleet of n live members."""

    def __init__(self, members: int) -> None:
        self.loop = RecordingLoop()
        known = {"index": 1, "snapshot": True, "endpoints": []}
        config = parse_config(
            {
                "name": sizes.name(0), "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ab",
                "known": known, "settings": sizes.node_settings(members, tenants=True),
            }
        )  # fmt: skip
        voters = [sizes.name(n) for n in (1, 2, 3)]
        share = frozenset(("verdicts", "limits"))
        fleet = FleetConfig(FLEET, "127.0.0.1:7400", sizes.address(0), [sizes.address(1)], voters, share)
        self.peers = Peers(
            cast(Any, self.loop), MemberIdentity.from_config(config), fleet, lambda *place: None, lambda: 8,
            Balancer(config.settings, 1), settings=config.settings,
        )  # fmt: skip
        self.peers.handle(fleet_api.Started())
        assert self.peers.roles is not None and self.peers.shared is not None
        self.peers.roles.begin()
        self.peers.shared.begin()

    @property
    def core(self) -> Membership:
        """Return the membership core."""
        return self.peers.core


def state_of(numbers: range) -> bytes:
    """Encode these members as a state message, without prefix."""
    return encode(State(_head(1), [sizes.record(n) for n in numbers]))


def _head(n: int, digest: int = 0, members: int = 0) -> Header:
    return Header(sizes.name(n), sizes.LIFE + n, 0, digest, members)


def fill(core: Membership, members: int) -> None:
    """Let a core receive the records of this many members, including itself, decoded from the wire."""
    for first in range(1, members, CHUNK):
        state = decode(state_of(range(first, min(members, first + CHUNK))))
        core.handle(fleet_api.PushPullReceived(state, sizes.address(1), False), time.monotonic() * 1000.0)


def _view(members: int, seed: int) -> dict[str, float]:
    """Measure a view's memory, its size on the wire, and the time of each operation on all of it."""
    host = Host(members)
    core = host.core
    before = rss_bytes()
    fill(core, members)
    found = _each_second(host)
    found["rss"] = rss_bytes() - before
    wire = Wire(FLEET)
    data = encode(core.state())
    found["wire"] = float(PREFIX_BYTES + len(data))
    found["told"] = float(len(wire.read_state(wire.write_state(core.state())).records))
    found["write"] = best_ms(lambda: encode(core.state()))
    found["read"] = best_ms(lambda: decode(data))
    found["again"] = best_ms(lambda: core.handle(_push_pull(data), 2.0), 3)
    found["peak"] = (
        peak_bytes() - before
    )  # peak of complete exchanges; what follows only serves the measurement
    fresh = [_core_with_members(1) for _ in range(3)]
    found["merge"] = best_ms(lambda: fresh.pop().handle(_push_pull(data), 1.0), 3)
    found |= _status_figures(host.peers)
    found["traced"] = held_bytes(partial(_core_with_members, members))[0]
    return found


def _push_pull(data: bytes) -> fleet_api.PushPullReceived:
    return fleet_api.PushPullReceived(decode(data), sizes.address(1), False)


def _core_with_members(members: int) -> Membership:
    core = Host(1).core
    fill(core, members)
    return core


def _each_second(host: Host) -> dict[str, float]:
    """Measure operations over all members on the event loop that serves callers, and one message."""
    peers, core = host.peers, host.core
    assert peers.shared is not None
    peers.member_count.observe({sizes.name(0)}, 0.0)
    count = len(core.view.members)
    # Runs every second, and at each change of the view.
    found = {"recount": best_ms(partial(peers.on_settings_changed, 0, count + 1))}
    found["shared"] = best_ms(
        lambda: peers.shared and peers.shared.core.handle(membership_update(core, peers.member_count), 0.0)
    )
    found["duties"] = best_ms(host.loop.due(MEMBERSHIP_INTERVAL_S))
    wire, digest = Wire(FLEET), core.digest()
    pings = [
        wire.write(Ping(_head(1 + n % count, digest, count + 1), n, core.name, [])) for n in range(PINGS)
    ]

    def ping(n: int) -> None:
        peers.on_datagram(pings[n], ("127.0.0.1", 7400))

    found["storm"] = mean_us(ping, PINGS)  # all members are still queued for dissemination
    # As if everything had been disseminated, which would take hours of such pings.
    core._dissemination = DisseminationQueue()
    found["ping"] = mean_us(ping, PINGS)
    return found


def _status_figures(peers: Peers) -> dict[str, float]:
    """Measure the status document for operators, which is built on the same event loop."""
    found = {"show": best_ms(lambda: json.dumps(peers.status()[1]), 3)}
    found["shown"] = float(len(json.dumps(peers.status()[1])))
    return found


def _join(members: int, seed: int) -> dict[str, float]:
    """Measure how long a new member takes to process its first full view, including every change event."""
    host = Host(members)
    met = fleet_api.PushPullReceived(decode(state_of(range(1, members))), sizes.address(1), True)
    start = time.perf_counter()
    host.peers.handle(met)
    return {"join": 1000.0 * (time.perf_counter() - start)}


class Timed(Membership):
    """Accumulates the time used by all cores of a run."""

    took_ns = 0

    def handle(self, event: fleet_api.Event, now: float) -> list[fleet_api.Action]:
        """Handle an event and add its duration."""
        start = time.perf_counter_ns()
        actions = super().handle(event, now)
        Timed.took_ns += time.perf_counter_ns() - start
        return actions


def _clear(fleet: Fleet) -> None:
    fleet.bytes.clear()
    fleet.datagrams.clear()
    fleet.stream_bytes.clear()
    Timed.took_ns = 0


def _gossip(members: int, seed: int) -> dict[str, float]:
    """Measure a stable fleet in virtual time, per member and second."""
    fleet = settled_fleet(members, seed, Timed)
    _clear(fleet)
    fleet.run(MEASURED_MS)
    member_seconds = members * MEASURED_MS / 1000.0
    return {
        "datagrams": sum(fleet.bytes.values()) / member_seconds,
        "messages": sum(fleet.datagrams.values()) / member_seconds,
        "streams": sum(fleet.stream_bytes.values()) / member_seconds,
        "core": Timed.took_ns / 1e6 / member_seconds,
    }


CHURNED_MEMBERS, CHURN_INTERVAL_MS = 10, 3_000.0  # members that are killed and restarted; time between events


def _churn(members: int, seed: int) -> dict[str, float]:
    """Measure the additional traffic per member for each death and return of a member."""
    fleet = settled_fleet(members, seed, Timed)
    _clear(fleet)
    fleet.run(CHURNED_MEMBERS * 2.0 * CHURN_INTERVAL_MS)
    quiet = sum(fleet.bytes.values()), sum(fleet.stream_bytes.values())
    _clear(fleet)
    for name in fleet.rng.sample(fleet.names, CHURNED_MEMBERS):
        fleet.kill(name)
        fleet.run(CHURN_INTERVAL_MS)
        fleet.start(name)
        fleet.run(CHURN_INTERVAL_MS)
    additional = sum(fleet.bytes.values()) - quiet[0], sum(fleet.stream_bytes.values()) - quiet[1]
    return {
        "datagrams": additional[0] / CHURNED_MEMBERS / members,
        "streams": additional[1] / CHURNED_MEMBERS / members,
    }


MEMBERS = (500, 1000, 2000, 4000, 8000)
EXPERIMENTS = (
    Experiment(
        "view", "one process's view of all members", "members", sizes.SERVERS, MEMBERS, (50, 100, 200),
        (1, 2, 3),
        (
            Figure("rss", "B"), Figure("traced", "B"), Figure("peak", "B"), Figure("wire", "B"),
            Figure("told", "members"), Figure("write", "ms", TIMED), Figure("read", "ms", TIMED),
            Figure("merge", "ms", TIMED), Figure("again", "ms", TIMED), Figure("recount", "ms", TIMED),
            Figure("shared", "ms", TIMED), Figure("duties", "ms", TIMED), Figure("ping", "us", TIMED),
            Figure("storm", "us", TIMED), Figure("show", "ms", TIMED), Figure("shown", "B"),
        ),
        _view, sizes.SERVERS,
    ),
    Experiment(
        "join", "a newcomer takes in its first whole view", "members", sizes.SERVERS,
        (250, 500, 1000, 2000), (50, 100, 200), (1, 2, 3), (Figure("join", "ms", TIMED, 2.0),), _join, 4000,
    ),
    Experiment(
        "gossip", "a quiet fleet's messages, a member and second (virtual time)", "members", sizes.SERVERS,
        (50, 100, 200, 400, 800), (10, 20, 30), (1, 2),
        (
            Figure("datagrams", "B/s"), Figure("messages", "1/s"), Figure("streams", "B/s"),
            Figure("core", "ms/s", TIMED),
        ),
        _gossip,
    ),
    Experiment(
        "churn", "a member dies and comes back: bytes to each member for it (virtual time)", "members",
        sizes.SERVERS, (25, 50, 100, 200), (12, 18, 24), (1, 2),
        (Figure("datagrams", "B"), Figure("streams", "B")), _churn,
    ),
)  # fmt: skip
