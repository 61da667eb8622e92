"""Every decision of the load balancer; settings, events and actions: dunlinloft/balancer/interface.py.

Retries are admitted with the probability that RTDC's PI loop allows (Hong, Huang and Yan, section V.B);
first sends follow a smooth weighted rotation. docs/design.md says what is kept, changed and why."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import replace

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.affinity import Member, choose_member
from dunlinloft.balancer.averages import ClassStatistics, SlidingWindowCounter
from dunlinloft.balancer.delay_controller import SAMPLES, TARGET_SHARE, DelayController
from dunlinloft.balancer.interface import DedupScope, Health, Idempotency, ListUpdateKind, Result
from dunlinloft.balancer.rotation import Rotation
from dunlinloft.balancer.subsetting import subset_shares
from dunlinloft.balancer.token_bucket import TokenBucket

TARGET_OVER, TARGET_MOST = 1.25, 0.6  # times the least mean delay measured, where that is more; a bound
QUEUE_SHARES = (0.08, 0.5)  # of its aim: how long a call may queue for room; deeper, giving up wastes more
RETRY_WAIT_MS, RETRY_WAIT_SHARE = 500.0, 0.2  # T1, or less by aim, doubling with each attempt, with jitter
CROWD = 1.2  # a server holding so many times its part of what is outstanding, and a call, is passed over
LIMIT_CUT = 0.9  # what a server may hold from here after it has turned an attempt away
SLOW_FROM, SLOW_POWER = 1.5, 4.0  # times its peers' delay: a weight falls, so steeply that it gets rest
PACED_LEAST = 0.5  # of the weight stays in turns, whatever their pace
REPORT_MS = 5_000.0  # the time in which a reported queue fades, by whose cube its weight is divided
LOST_SHARE = 0.5  # of the servers may be taken for lost: where more are silent, the tier is slow
SILENT = 3.0  # times the usual delay without a word: what a server holds is taken for lost
OVERDUE = 1.5  # a call out for so many times the usual delay makes its server look as slow as one answer
SLOW_MOST = 10.0  # times its peers' delay that one answer may count for at most
SLOW_SAMPLES, SLOW_MS = 3.0, 10_000.0  # answers a server's delay is averaged over; how soon that fades
PEER_SAMPLES = 100.0  # answers over which the peers' delay is averaged
EJECT_MS, EJECT_DOUBLINGS = 1_000.0, 5  # first time out for a server that fails; how often it doubles
EJECT_SHARE = 0.5  # of the servers may be out at once for errors
EJECT_ODDS = math.log(30.0)  # log odds from which a server is ejected for its errors
BAD_RATIO, ERROR_FLOOR = 0.5, 0.01  # the share of errors to suspect; the least that peers are taken for
QUOTA_MS = 1_000.0  # of its quota is what a tenant may send at once
TIMEOUT_SHARE = 0.95  # of the time left, for an attempt that another may follow
RESERVE = 0.15  # of the window is kept for the class of most value
SLICES = 4  # of the fleet, each cut evenly among all copies: few servers, so that a copy sees each often
IDLE_CUT, IDLE_GROWTH = 0.5, 1.03  # of the idle time trusted: after a loss on such a connection, an answer
HOT = 1.0  # calls out a server from which a copy doubles its slices
PATIENCE, PATIENCE_LEAST = 8.0, 0.1  # times its usual delay: the longest that an attempt is waited for;
# at least so much of its aim, as the node itself may be late by more than a few milliseconds
COLD_SHARE = 0.5  # of the stated cold budget that all copies together use
OUTWEIGHED = 1.0  # answers of its own, since it heard, from which a copy believes itself alone
TOLD_SILENT = 3.0  # times as long as to be taken for lost here: by chance one call in many takes that long
RETURN_MS = 2_000.0  # a server that others no longer warn of comes back to each copy within this time
AFFINE = 1.25  # times its part of what is out, which a server may hold of those that belong to it
CREDIT = 1.0  # first sends that a capped cohort may have missed and still get
ASK_SHARE, ASK_MOST_MS = 0.1, 500.0  # of the asking interval: mean wait before asking again after a
# failure; whatever the interval, what discovery has counts as told 6 s later

NEVER_RAN = frozenset((Result.REJECTED, Result.UNREACHABLE, Result.NOT_SENT))


class Server:
    """What this copy knows of one server."""

    def __init__(self, entry: api.ServerEntry, now: float, rng: random.Random) -> None:
        self.id, self.inflight = entry.server, 0
        self.out: dict[str, tuple[float, float]] = {}  # when each call out was sent, and its aim
        self.rotation_weight: float | None = None
        self.queue, self.report_ms = 0.0, now  # requests it last said were waiting there, and when it did
        self.slowness, self.slow_ms = 1.0, now  # its delay over its peers', averaged
        self.shut_ms, self.shuts = -math.inf, 0  # ejected until then; how often in a row
        self.used_ms = now  # when a connection to it was last in use
        self.heard_ms = now  # when it last gave a sign of life
        self.suspicion = 0.0  # log odds that it fails much more often than its peers
        self.verdict: api.PeerVerdict | None = None  # what others say of it, and
        self.own = self.fast = 0.0  # answers had since, without a failure; and without a slow one
        self.limit = math.inf  # how much it may hold from here, once it has turned an attempt away
        self.budget = TokenBucket(rng.random(), now)  # while cold; random, as all copies learn of it at once
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        self.zone, self.cell, self.share = entry.zone, entry.cell, max(entry.share, 0.0)
        self.subset_share = self.share  # of it that is this copy's to use
        started = getattr(self, "started_ms", entry.started_ms)
        if started != entry.started_ms:
            self.verdict = None  # said of its former start
        self.in_service, self.started_ms = entry.health is Health.IN_SERVICE, entry.started_ms

    def slow_start_share(self, now: float, settings: api.Settings) -> float:
        """The share of its capacity that it surely has by now."""
        if self.started_ms is None or not settings.slow_start_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now - self.started_ms) / settings.slow_start_ms))
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * ramp

    def _slowness_at(self, now: float) -> float:
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slow_ms - now) / SLOW_MS)  # old evidence fades

    def judge(self, ratio: float, now: float) -> None:
        self.fast = self.fast + 1.0 if ratio < SLOW_FROM else 0.0
        slowness = self._slowness_at(now)
        self.slowness, self.slow_ms = slowness + (min(ratio, SLOW_MOST) - slowness) / SLOW_SAMPLES, now

    def pace(self, now: float, usual_share: float) -> float:
        """What is left of its weight, once it is clearly slower than its peers, or keeps a call waiting."""
        overdue = 0.0
        # A silent, hung or choked server shows by the oldest call it holds long before a time-out does.
        if self.out and usual_share:
            sent_ms, aim_ms = next(iter(self.out.values()))
            overdue = (now - sent_ms) / (usual_share * aim_ms) / OVERDUE
        slowness = max(overdue, SLOW_FROM)
        if self.slowness > SLOW_FROM:
            slowness = max(slowness, self._slowness_at(now))  # else it is less
        verdict = self.verdict
        if verdict is not None:
            slowness = max(slowness, 1.0 + (verdict.slow - 1.0) * 0.5**self.fast)
        if not self.queue:
            return 1.0 if slowness == SLOW_FROM else math.pow(SLOW_FROM / slowness, SLOW_POWER)
        queue = self.queue * math.exp((self.report_ms - now) / REPORT_MS)
        return math.pow(SLOW_FROM / slowness, SLOW_POWER) / (1.0 + queue) ** 3

    def silent(self, now: float, usual_share: float) -> bool:
        """Whether it holds calls and has said nothing for so long that it is taken for lost."""
        for sent_ms, aim_ms in self.out.values():  # the oldest
            silent_ms = now - (sent_ms if sent_ms > self.heard_ms else self.heard_ms)
            return silent_ms > SILENT * usual_share * aim_ms > 0.0
        return False

    def eject(self, now: float, rng: random.Random) -> None:
        """Keep away for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now >= self.shut_ms:
            self.shut_ms = now + EJECT_MS * 2.0 ** min(self.shuts, EJECT_DOUBLINGS) * (0.5 + rng.random())
            self.shuts += 1

    def hear(self, verdict: api.PeerVerdict | None, now: float, rng: random.Random) -> None:
        """Take what others say now. Whoever is warned of no longer returns to each copy at its own time."""
        was, is_ = self.verdict is not None and self.verdict.avoid, verdict is not None and verdict.avoid
        if is_ and not was:
            self.own = 0.0
        if verdict is not None and (self.verdict is None or self.verdict.slow == 1.0):
            self.fast = 0.0
        if was and not is_ and self.own < OUTWEIGHED:
            self.shut_ms = max(self.shut_ms, now + RETURN_MS * rng.random())
        self.verdict = verdict

    def warned(self, cls: str) -> bool:
        """Whether others warn of it, and this copy has had no answers of its own that say otherwise."""
        verdict = self.verdict
        if verdict is None or not verdict.avoid or verdict.trial or self.own >= OUTWEIGHED:
            return False
        return not verdict.classes or cls in verdict.classes

    def group(self, group: DedupScope) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return self.zone if group is DedupScope.ZONE else self.cell if group is DedupScope.CELL else None


class ServerSet:
    """The server list as last heard, and this copy's part of it."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self.number, self.nodes = settings.replica_index, settings.replicas
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # those in service that are this copy's to use
        self.slices, self.slice = SLICES, 0.0  # how many it has, and how many servers one is worth

    def apply(self, news: api.ServerListUpdate, now: float) -> None:
        """Take changes, or a whole list that replaces the old one."""
        kept = (
            {entry.server for entry in news.entries}
            if news.kind is not ListUpdateKind.DELTA
            else self.servers
        )
        self.servers = {id: server for id, server in self.servers.items() if id in kept}
        for entry in news.entries:
            if entry.health is Health.TERMINATED:
                self.servers.pop(entry.server, None)
            elif entry.server in self.servers:
                self.servers[entry.server].update(entry)
            else:
                self.servers[entry.server] = Server(entry, now, self._rng)
        self.cut(SLICES)

    def group(self, call: Call) -> list[Server]:  # all that a keyed call which may have run can still go to
        return [
            s for s in self.servers.values() if s.in_service and s.group(call.cls.dedup_scope) == call.pin
        ]

    def cut(self, slices: int) -> None:
        """Use so many slices: many copies going round all servers need more connections than they accept."""
        shares = {server.id: server.share for server in self.servers.values() if server.in_service}
        self.slices, self.slice = slices, len(shares) / self.nodes
        parts = subset_shares(shares, self.number, self.nodes, slices)
        self.ready = [self.servers[id] for id, part in parts.items() if part]
        for server in self.ready:
            server.subset_share = parts[server.id]


class Call:
    """A request that is owed an answer."""

    def __init__(self, event: api.Request, cls: api.RequestClass, now: float) -> None:
        self.id, self.cls, self.over_share = event.id, cls, False
        self.whole, self.ttl_ms = event.complete, event.ttl_ms  # its time runs once it has come whole
        self.arrived_ms, self.ends_ms = now, now + event.ttl_ms if event.complete else math.inf
        self.attempts, self.out, self.sent_ms = 0, False, now  # whether one is out, and since when,
        self.idle_ms = 0.0  # on a connection that had idled for so long
        self.queued, self.token = False, 0  # waits for room; the timer it waits for
        self.bound = False  # to an answer that flows
        self.last: Server | None = None
        self.ran_ms: float | None = None  # when the first attempt that may have run was sent
        self.pin = event.pinned_group  # the group that it went to, or has to go to from the first
        self.key = event.affinity_key if cls.affinity else None


class Balancer:
    """One copy's decisions: feed it events, do what it says."""

    def __init__(self, settings: api.Settings, salt: int) -> None:
        self.settings, self._processes = settings, 1  # that share this copy's budgets
        self.classes = {cls.name: cls for cls in settings.classes}
        self._known = dict(self.classes)  # those too that have vanished: requests of them may be under way
        self._rng = random.Random(salt)
        self.controller = DelayController()
        self.inflight, self._weight = 0, 0.0  # attempts out; weight of all ready servers
        self._errors = self._share = self._seen = 0.0  # recent errors; mean delay over its aim, of how many
        self._least = math.inf  # the least that mean delay has been: of a tier where little waits
        self._borne = 0.0  # the capacity that the recent answers came from
        self._queued: dict[tuple[str, bool], deque[Call]] = {}  # first sends that wait for the window
        self.record = ClassStatistics(settings.classes, PEER_SAMPLES)
        self.rotation = Rotation(self._rng)
        self.server_set = ServerSet(settings, self._rng)
        self._quotas: dict[str | None, tuple[float, TokenBucket]] = {}  # this copy's part of each tenant's
        self._parts: dict[str, float] = {}  # of quotas, where copies share them by demand
        self.quota_counts: dict[
            str | None, list[int]
        ] = {}  # requests within each tenant's quota, and over it
        self._know_tenants()
        # A tick to spare at both edges of the window that the budget of attempts is counted over.
        self._taken = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._further = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REJECTED} if settings.rejected_may_have_run else set())
        self._cohort, self._cap = frozenset[int](), 1.0  # servers of a new build; their share of first sends
        self._credit: dict[str, float] = {}  # by class: first sends that they may get now
        self._calls: dict[str, Call] = {}
        self._waiting: dict[int, Call] = {}  # by timer token
        self._light: set[str] = set()  # calls out that load no server: still coming in, or going out
        self._stuck: set[str] = set()  # calls out at servers that fell silent: they load no other
        self._idle_ms = self._lost_ms = math.inf  # idle time from which a connection is closed; last loss
        self._token = 0  # that of the last timer; 0 itself is the one to ask for the list
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self._actions = []
        match event:
            case api.Request():
                self._on_request(event, now_ms)
            case api.RequestComplete():
                self._on_whole(event, now_ms)
            case api.StreamStarted():
                self._on_stream(event, now_ms)
            case api.AttemptCompleted():
                self._on_ended(event, now_ms)
            case api.TimerFired():
                self._on_timer(event, now_ms)
            case api.ServerListUpdate():
                self._on_list(event, now_ms)
            case api.ClientDisconnected():
                self._calls.pop(event.id, None)
            case api.Started() if self.settings.subscribes:
                self._actions.append(api.Subscribe())
            case api.ProcessCount():
                self._processes = max(1, event.processes)
            case api.Reconfigured():
                self._on_settings(event.settings, now_ms)
            case api.PeerVerdicts():
                self._on_hearsay(event, now_ms)
            case api.QuotaShares():
                self._on_parts(event)
            case api.CanaryLimit():
                self._on_cohort(event, now_ms)
        return self._actions

    def _know_tenants(self) -> None:
        buckets = {name: bucket for name, (_, bucket) in self._quotas.items()}
        even = {
            t.name: t.quota_per_s / self.settings.replicas for t in self.settings.tenants if t.quota_per_s
        }
        self._quotas = {
            name: (self._parts.get(name, part) / 1000.0, buckets.get(name, TokenBucket(math.inf, 0.0)))
            for name, part in even.items()}  # fmt: skip

    def _on_parts(self, event: api.QuotaShares) -> None:
        self._parts, self.controller.retry_share = dict(event.quotas), event.retry_share
        self._know_tenants()

    def _on_hearsay(self, event: api.PeerVerdicts, now: float) -> None:
        """Take what others say of servers; with what is ejected here it is half of them at most."""
        told = {verdict.server: verdict for verdict in event.verdicts}
        out = {s.id for s in self.server_set.ready if now < s.shut_ms}
        room = int(EJECT_SHARE * len(self.server_set.ready))
        for verdict in event.verdicts:
            if verdict.avoid and len(out | {verdict.server}) > max(room, len(out)):
                told[verdict.server] = replace(verdict, avoid=False)
            elif verdict.avoid:
                out.add(verdict.server)
        for server in self.server_set.servers.values():
            server.hear(told.get(server.id), now, self._rng)
        self._release(now)

    def _on_cohort(self, event: api.CanaryLimit, now: float) -> None:
        if event.share != self._cap:
            self._credit = {}
        self._cohort, self._cap = event.servers, event.share
        self._release(now)

    def _cohort_part(self, now: float) -> float:
        """What the cap leaves of the cohort's weight: 1 where that is under the cap anyway.

        Without an old server in service there is nothing to cap it against.
        """
        if not self._cohort or self._cap >= 1.0:
            return 1.0
        new = old = 0.0
        for server in self.server_set.ready:
            weight = server.subset_share * server.slow_start_share(now, self.settings)
            if server.id in self._cohort:
                new += weight
            else:
                old += weight
        return min(1.0, self._cap / (1.0 - self._cap) * old / new) if new and old else 1.0

    def _may_cohort(self, call: Call) -> bool:
        """Whether a call may go to the cohort: a first send that the cap has room for.

        Copies begin at random places, so that of many copies' few calls it gets its share too.
        """
        credit = self._credit.setdefault(call.cls.name, self._rng.random())
        return self._cap > 0.0 and not call.attempts and credit + self._cap >= 1.0

    def _cap_cohort(
        self, call: Call, part: float, found: list[tuple[Server, float]], crowded: list[tuple[Server, float]]
    ) -> tuple[list[tuple[Server, float]], list[tuple[Server, float]]]:
        """Of those that may get a call, those that the cap leaves: the cohort in its turn, else the old."""
        new = [pair for pair in found if pair[0].id in self._cohort]
        old = [pair for pair in found if pair[0].id not in self._cohort]
        if call.pin is not None:
            return old or new, crowded  # it has to stay in its group
        crowded = [pair for pair in crowded if pair[0].id not in self._cohort]
        if not self._may_cohort(call):
            return old, crowded
        return (new, crowded) if new and part < 1.0 else (found, crowded)

    def _on_settings(self, settings: api.Settings, now: float) -> None:
        """Take new settings; what was measured stays, and calls under way keep their class."""
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self._known |= self.classes
        self.record.set_classes(settings.classes)
        self._know_tenants()
        self._taken.set_window(settings.retry_budget_window_ms - settings.tick_ms)
        self._further.set_window(settings.retry_budget_window_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REJECTED} if settings.rejected_may_have_run else set())
        if (settings.replica_index, settings.replicas) != (self.server_set.number, self.server_set.nodes):
            self.server_set.number, self.server_set.nodes = settings.replica_index, settings.replicas
            self.server_set.cut(SLICES)
        self._release(now)

    def excluded_count(self, now: float) -> int:
        """How many listed servers get nothing new now: ejected, fallen silent, or told to drain."""
        lost = self._lost(now)
        servers = self.server_set.servers.values()
        return sum(now < s.shut_ms or s in lost or not s.in_service for s in servers)

    def unresponsive_servers(self, now: float) -> list[int]:
        """The servers that hold calls and have been silent for so long that others should know."""
        held = [server for server in self.server_set.servers.values() if server.out]
        return [server.id for server in held if server.silent(now, TOLD_SILENT * self._share)]

    def zone_capacity(self, now: float) -> dict[str, tuple[int, int]]:
        """Of each zone's servers in service how many are fit to take calls here, and how many there are."""
        lost, found = self._lost(now), dict[str, tuple[int, int]]()
        for s in self.server_set.servers.values():
            if s.in_service:
                fit, listed = found.get(s.zone, (0, 0))
                found[s.zone] = fit + (now >= s.shut_ms and s not in lost), listed + 1
        return found

    def _on_request(self, event: api.Request, now: float) -> None:
        call = self._calls[event.id] = Call(event, self.classes[event.cls], now)
        self.record.count_request(event.cls)
        self._taken.add(now)
        if event.tenant in self._quotas:
            per_ms, bucket = self._quotas[event.tenant]
            call.over_share = not bucket.take(per_ms, max(1.0, QUOTA_MS * per_ms), now)
            self.quota_counts.setdefault(event.tenant, [0, 0])[call.over_share] += 1
        if self._shed(call, now):
            return self._end(call)
        self._attempt(call, now)

    def _attempt(self, call: Call, now: float) -> None:
        crowded = self._crowded(call, now)
        server = None if crowded else self._pick(call, now)
        if crowded or (server is None and call.ran_ms is None and self.server_set.ready):
            self._enqueue(call, now)
        elif server is None or not self._send(call, server, now):
            self._wait_or_end(call, now)

    def _shed(self, call: Call, now: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self.settings.tier else self.controller.shed_share(now)
        if not shed:
            return False  # deeper, a refusal wastes work done above
        values = {name: self._value(name, False) for name in self.classes}
        own = self._value(call.cls.name, call.over_share)
        less = sum(self.record.request_share[name] for name, value in values.items() if value < own)
        return self._rng.random() * self.record.request_share[call.cls.name] < shed - less

    def _crowded(self, call: Call, now: float) -> bool:
        """Whether the clients' tier has as many calls outstanding as the delay target bears."""
        if self.settings.tier:
            return False  # deeper, a refusal wastes work done above
        if not self.inflight:
            self.controller.busy_answer_rate.skip(now)  # while nothing was out, nothing was measured
        room = self.controller.window(self.server_set.slice, now)
        if self._borne:  # it was measured with servers that may be gone, lost or cold by now
            room = max(1.0, room * min(1.0, self._capacity(now) / self._borne))
        if self.inflight < (1.0 - RESERVE) * room:
            return False
        self._miss(now)
        inflight = self.inflight - len(self._stuck)
        if inflight < (1.0 - RESERVE) * room:
            return False
        best = max(self._value(name, False) for name in self.classes)
        return inflight >= room or self._value(call.cls.name, call.over_share) < best

    def _lost(self, now: float) -> list[Server]:
        """The servers that fell silent while most of the others answer."""
        silent, share = list[Server](), self._share
        for server in self.server_set.servers.values():  # none but those that hold calls can be silent
            if server.out and server.silent(now, share):
                silent.append(server)
        return silent if len(silent) <= LOST_SHARE * len(self.server_set.ready) else []

    def _miss(self, now: float) -> None:
        """Note which calls are stuck at lost servers."""
        for server in self._lost(now):
            self._stuck.update(server.out)

    def _capacity(self, now: float) -> float:
        """What there is to take first sends now, in warm servers' parts."""
        lost, found = self._lost(now), 0.0
        part = self._cohort_part(now)  # of what may not be sent there nothing is borne
        for server in self.server_set.ready:  # a loop, as this is asked several times for each call
            if now < server.shut_ms or (lost and server in lost):
                continue
            own = server.subset_share
            if server.started_ms is not None:
                own *= server.slow_start_share(now, self.settings)
            found += own * part if server.id in self._cohort else own
        return found

    def _enqueue(self, call: Call, now: float) -> None:
        """Keep a call back while an answer within its aim is still possible."""
        share = QUEUE_SHARES[self.settings.tier > 0]
        patience = min(call.arrived_ms + share * call.cls.latency_target_ms, call.ends_ms) - now
        if patience <= 2.0 * self.settings.tick_ms:
            return self._end(call)
        self._queued.setdefault((call.cls.name, call.over_share), deque()).append(call)
        call.queued = True
        self._set_timer(call, patience - 2.0 * self.settings.tick_ms)

    def _release(self, now: float) -> None:
        """Send held calls as room comes up, those of most worth first."""
        values = {key: self._value(*key) for key, queue in self._queued.items() if queue}
        for key in sorted(values, key=values.__getitem__, reverse=True):
            while queue := self._queued[key]:
                call = queue[0]
                if call.queued and call.id in self._calls:
                    crowded = self._crowded(call, now)
                    server = None if crowded else self._pick(call, now)
                    if server is None:
                        break
                    call.queued, call.token = False, 0
                    if not self._send(call, server, now):
                        self._wait_or_end(call, now)
                queue.popleft()

    def _value(self, name: str, over_share: bool) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes."""
        worth = self.record.value[name] / self.record.mean_value()
        if (
            self.record.on_time_share[name] <= self.record.lowest_on_time_share()
        ):  # strict order of worth would starve it
            worth += self.settings.worst_class_weight / max(
                self.record.request_share[name], 1.0 / PEER_SAMPLES**2
            )
        worth *= self.settings.over_quota_value if over_share else 1.0  # a flooding tenant waits behind
        return worth / max(
            1.0, self.record.latency_ms[name] or self._share * self._known[name].latency_target_ms
        )

    def _pick(self, call: Call, now: float) -> Server | None:
        """Where the call's next attempt goes: the next in the rotation, or where its key belongs."""
        found = self._candidates(call, now)
        if call.key is None or not found:
            return self.rotation.pick(found)
        members = [Member(server.id, weight, server.inflight) for server, weight in found]
        return found[choose_member(call.key, members, AFFINE)][0]

    def _candidates(self, call: Call, now: float) -> list[tuple[Server, float]]:
        """The servers that may get the call's next attempt, with their weights."""
        paced: list[tuple[Server, float, float]] = []
        full = total = 0.0
        free = call.ran_ms is None and call.pin is None
        part = self._cohort_part(now)
        capped = (
            self._cohort and self._cap < 1.0 and any(s.id not in self._cohort for s in self.server_set.ready)
        )
        for server in self.server_set.ready if free else self.server_set.group(call):
            weight = server.subset_share if server.id not in self._cohort else server.subset_share * part
            if server.started_ms is not None:
                warmth = server.slow_start_share(now, self.settings)
                if warmth < 1.0 and self._slow_start_budget(server, warmth, now) < 1.0:
                    continue
                weight *= warmth
            pace = server.pace(now, self._share)
            paced.append((server, weight, pace))
            full, total = full + weight, total + weight * pace
        # Where most look slow the tier is: whoever answered last would get it all, and be the next to choke.
        even = max(0.0, PACED_LEAST * full - total) / (full - total) if full > total else 0.0
        total += even * (full - total)
        found: list[tuple[Server, float]] = []
        crowded = found[:]
        fair = CROWD * self.inflight / self._weight if self._weight else math.inf
        for server, weight, pace in paced:
            weight *= pace + even * (1.0 - pace)
            # A slow or stuck server shows first by what it holds: passed over till its peers hold alike.
            room = server.inflight < min(server.limit, max(1.0, fair * weight))
            fit = now >= server.shut_ms and not (server.verdict and server.warned(call.cls.name))
            (found if room and fit else crowded).append((server, weight))
        self._weight = total if free else self._weight
        if capped:
            found, crowded = self._cap_cohort(call, part, found, crowded)
        found = found or [(server, weight) for server, weight in crowded if server.inflight < server.limit]
        if call.last is not None and len(found) > 1:  # elsewhere than last time, where there is a choice
            found = [(server, weight) for server, weight in found if server is not call.last]
        return found

    def _slow_start_budget(self, server: Server, warmth: float, now: float) -> float:
        """This copy's part of a cold server's budget, in attempts; its capacity is guessed from its peers."""
        bearable = (
            self.controller.answer_rate.per_s()
            * server.subset_share
            / max(self._weight, server.subset_share)
            / 1000.0
        )
        per_ms = COLD_SHARE * self.settings.overload_factor * warmth * bearable / self._processes
        return server.budget.refill(per_ms, max(1.0, per_ms * self.settings.overload_for_ms), now)

    def _send(self, call: Call, server: Server, now: float) -> bool:
        """The one gate that every send passes: rules 1 to 6."""
        cls, left = call.cls, call.ends_ms - now if call.whole else call.ttl_ms
        if call.id not in self._calls or call.out or left <= self.settings.tick_ms:
            return False  # rule 1
        if call.attempts >= self.settings.max_attempts or not self._repeatable(call, now):
            return False
        if call.pin is not None and server.group(cls.dedup_scope) != call.pin:
            return False  # rule 2
        if not server.in_service or self.server_set.servers.get(server.id) is not server:
            return False  # rule 3
        if call.attempts and not self._in_budget(now):
            return False  # rule 5
        warmth = server.slow_start_share(now, self.settings)
        if warmth < 1.0:
            if self._slow_start_budget(server, warmth, now) < 1.0:
                return False  # rule 4
            server.budget.tokens -= 1.0
        if server.verdict is not None and server.verdict.trial:
            server.verdict.trial = False
        if call.attempts:
            self._further.add(now)
        elif self._cohort:
            credit = self._credit.get(cls.name, 0.0) + self._cap - (server.id in self._cohort)
            self._credit[cls.name] = max(0.0, min(credit, CREDIT))
        call.attempts += 1
        call.out, call.last, call.sent_ms = True, server, now
        call.idle_ms = 0.0 if server.out else now - server.used_ms
        if call.idle_ms > self._idle_ms:  # Rosario fresh-big: what is sent on a dropped connection is lost
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        if call.whole:
            self._load(call, server, now)
        else:
            self._light.add(call.id)
        last = cls.idempotency is Idempotency.NON_IDEMPOTENT or call.attempts == self.settings.max_attempts
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        patience = max(PATIENCE * self._share, PATIENCE_LEAST) * cls.latency_target_ms
        most = patience if self._seen >= SAMPLES else left
        timeout_ms = min(most, left if last else TIMEOUT_SHARE * left)
        self._actions.append(api.Send(call.id, server.id, timeout_ms, self._window_left(call, now)))
        return True

    def _load(self, call: Call, server: Server, now: float) -> None:
        """A server has a call to work on from now."""
        server.inflight += 1
        self.inflight += 1
        if (
            self.inflight > HOT * len(self.server_set.ready)
            and self.server_set.slices < self.server_set.nodes
        ):
            self.server_set.cut(2 * self.server_set.slices)  # a hot caller needs more of the fleet
        server.out[call.id] = now, call.cls.latency_target_ms

    def _unload(self, id: str, server: Server | None) -> None:
        self.inflight -= 1
        if server is not None:
            server.inflight = max(0, server.inflight - 1)
            server.out.pop(id, None)

    def _on_whole(self, event: api.RequestComplete, now: float) -> None:
        """A call that was still coming in is there: its time, and its server's work, begin."""
        call = self._calls.get(event.id)
        if call is None or call.whole:
            return
        call.whole, call.arrived_ms, call.ends_ms = True, now, now + call.ttl_ms
        if call.out and not call.bound and call.last and call.id in self._light:
            self._light.discard(call.id)
            self._load(call, call.last, now)

    def _on_stream(self, event: api.StreamStarted, now: float) -> None:
        """An answer flows: as a sample it counts now, and its server is free for others."""
        call, server = self._calls.get(event.id), self.server_set.servers.get(event.server)
        if event.id not in self._light:
            self._unload(event.id, server)
        self._light.add(event.id)
        if server is not None:
            server.heard_ms = now
            self._hear(server, event.report, now)
            self._learn(server, Result.SERVED, now)
        if call is not None:
            call.bound = True
            self._sample(call, server, event.duration_ms, True, False, now)
            self._settled(call, event.duration_ms, now)
        self._release(now)

    def _hear(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        if report:
            server.queue, server.report_ms = report.get("queue", 0.0), now

    def _sample(
        self, call: Call, server: Server | None, delay_ms: float, served: bool, stuck: bool, now: float
    ) -> None:
        """Take a call's delay; that of one stuck says that its server is lost, and nothing of the tier."""
        share = delay_ms / call.cls.latency_target_ms
        if not stuck:
            self._seen = min(self._seen + 1.0, PEER_SAMPLES)
            self._share += (share - self._share) / self._seen
            if self._seen >= SAMPLES:
                self._least = min(self._least, self._share)
                target = max(TARGET_SHARE, TARGET_OVER * self._least)
                self.controller.target_share = min(target, TARGET_MOST)
            self.controller.record_answer(delay_ms, call.cls.latency_target_ms, now, served)
        if server is not None and self._share:
            server.judge(share / self._share, now)

    def _settled(self, call: Call, delay_ms: float, now: float) -> None:
        self._borne += (self._capacity(now) - self._borne) / max(1.0, self.controller.answer_rate.events)
        self.record.count_answer(call.cls.name, now - call.arrived_ms <= call.cls.latency_target_ms)
        self.record.record_latency(call.cls.name, delay_ms)

    def _in_budget(self, now: float) -> bool:
        """Whether the stated budget of attempts beyond the first bears one more now."""
        ratio, taken = self.settings.retry_budget_ratio, self._taken.count(now)
        free = self.settings.retry_budget_floor / self._processes
        return ratio is None or self._further.count(now) + 1 <= free + ratio * taken

    def _repeatable(self, call: Call, now: float) -> bool:
        """Whether the class lets the call go out (again)."""
        return self._window_left(call, now) > 0.0

    def _window_left(self, call: Call, now: float) -> float:
        """How long a class lets the call go out (again)."""
        if call.ran_ms is None or call.cls.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0.0
        return call.ran_ms + call.cls.dedup_window_ms - self.settings.tick_ms - now

    def _back_off(self, call: Call) -> float:  # before a retry, or before the caller's own next try
        base = min(RETRY_WAIT_MS, RETRY_WAIT_SHARE * call.cls.latency_target_ms)
        return base * 2.0 ** max(0, call.attempts - 1)

    def _wait_or_end(self, call: Call, now: float) -> None:
        """Wait for the next attempt with a doubling back-off, where one can still be made in time."""
        wait = self._back_off(call) * (0.5 + self._rng.random())
        starts = now + wait + 2.0 * self.settings.tick_ms
        more = call.attempts < self.settings.max_attempts and self._repeatable(call, starts)
        if starts < call.ends_ms and more:
            self._set_timer(call, wait)
        else:
            self._end(call)

    def _end(self, call: Call) -> None:
        """The one way to end a request unserved: refused where a repeat is harmless, else failed."""
        if self._calls.pop(call.id, None):
            self.record.count_answer(call.cls.name, False)
            everywhere = call.cls.idempotency is Idempotency.KEYED and call.cls.dedup_scope is DedupScope.ALL
            harmless = not call.out and (
                call.ran_ms is None or everywhere or call.cls.idempotency is Idempotency.IDEMPOTENT
            )
            self._actions.append(api.Reject(call.id, self._back_off(call)) if harmless else api.Fail(call.id))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._token = call.token = self._token + 1
        self._waiting[call.token] = call
        self._actions.append(api.SetTimer(self._token, delay_ms))

    def _on_ended(self, event: api.AttemptCompleted, now: float) -> None:
        call, server = self._calls.get(event.id), self.server_set.servers.get(event.server)
        if event.result is Result.TIMEOUT:
            self._miss(now)
        stuck = event.id in self._stuck
        self._stuck.discard(event.id)
        if event.id in self._light:
            self._light.discard(event.id)
        else:
            self._unload(event.id, server)
        flowed = call is not None and call.bound and event.result is Result.SERVED  # it was learnt of before
        if server is not None:
            if event.result not in (Result.TIMEOUT, Result.UNREACHABLE, Result.CANCELLED, Result.NOT_SENT):
                server.heard_ms = now
            self._hear(server, event.report, now)
            server.used_ms = now
            if call is not None and call.idle_ms:
                self._judge_idle(call.idle_ms, event.result)
            if not flowed:
                self._learn(server, event.result, now)
        if call is not None and event.result in (Result.SERVED, Result.TIMEOUT) and not flowed:
            self._sample(call, server, event.duration_ms, event.result is Result.SERVED, stuck, now)
        elif call is not None and event.result is Result.REJECTED:  # full is as slow as a server gets
            self.controller.record_answer(call.cls.latency_target_ms, call.cls.latency_target_ms, now, False)
        if call is not None and event.final:
            del self._calls[event.id]
            if not call.bound:
                self._settled(call, event.duration_ms, now)
        elif call is not None:
            call.out = False
            if call.ran_ms is None and call.last and event.result not in self._never_ran:
                call.ran_ms, call.pin = call.sent_ms, call.last.group(call.cls.dedup_scope)
            if not event.replayable:
                self._end(call)
            elif self._rng.random() < self.controller.retry_probability(now):
                self._wait_or_end(call, now)
            else:
                self._end(call)
        self._release(now)

    def _judge_idle(self, idle_ms: float, result: Result) -> None:
        """Two losses on idled connections, none served that idled as long: close such before use."""
        if result in (Result.TIMEOUT, Result.RESET):
            self._idle_ms = min(self._idle_ms, IDLE_CUT * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Result.SERVED:
            self._idle_ms *= IDLE_GROWTH
            self._lost_ms = math.inf if idle_ms >= self._lost_ms else self._lost_ms

    def _learn(self, server: Server, result: Result, now: float) -> None:
        """What an outcome tells of the server's health."""
        if result in (Result.REJECTED, Result.UNREACHABLE):
            server.limit = max(1.0, min(server.limit, float(server.inflight)) * LIMIT_CUT)
            if result is Result.UNREACHABLE and not server.inflight:  # down, or out of connections
                server.eject(now, self._rng)
        elif result is Result.SERVED:
            server.limit += 1.0 / server.limit
        if result not in (Result.SERVED, Result.ERROR, Result.RESET):
            return
        bad = result is not Result.SERVED
        server.own = 0.0 if bad else server.own + 1.0
        # Fast errors look like low delay: weigh failing half its calls against failing like its peers.
        peers = max(ERROR_FLOOR, min(self._errors, BAD_RATIO))
        self._errors += (bad - self._errors) / PEER_SAMPLES
        step = math.log(BAD_RATIO / peers) if bad else math.log((1.0 - BAD_RATIO) / (1.0 - peers))
        server.suspicion = max(0.0, server.suspicion + step)
        if server.suspicion >= EJECT_ODDS:
            if sum(now < other.shut_ms for other in self.server_set.ready) < EJECT_SHARE * len(
                self.server_set.ready
            ):
                server.eject(now, self._rng)
            server.suspicion = EJECT_ODDS / 2.0  # on its return it is on probation
        elif not server.suspicion:
            server.shuts = 0

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == 0:
            self._actions.append(api.Subscribe())
        call = self._waiting.pop(event.token, None)
        if call and call.token == event.token and call.id in self._calls:
            (self._end(call) if call.queued else self._attempt(call, now))

    def _on_list(self, event: api.ServerListUpdate, now: float) -> None:
        if event.kind is ListUpdateKind.FAILED:  # ask again, not in step with the others
            mean = min(ASK_SHARE * self.settings.poll_interval_ms, ASK_MOST_MS)
            wait = mean * (0.5 + self._rng.random())
            return self._actions.append(api.SetTimer(0, wait))
        self.server_set.apply(event, now)
        self._release(now)
