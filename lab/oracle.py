"""Checks all records of a run against the published rules and reports violations by rule name.

The oracle implements the published specification independently of the node's code and keeps its own state.
Violations explained by a fault are excused, for example a request at a node that was killed. Time limits are
extended by the scheduling delay of the lab itself or of the node's process, so that a busy machine changes no
verdict.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from lab import records as r
from lab.callers import REFUSALS, REQUEST_RETENTION_MS
from lab.lines import machine
from lab.names import CALLERS
from lab.plan import Plan
from lab.scenario import Class

RULES = {
    "second-answer": "a request gets one final answer",
    "lost": "a request that a living node took is answered within its time",
    "duplicate": "an unsafe request that may have run is not sent again",
    "group": "a keyed request that may have run stays within its group",
    "strayed": "where affinity is shared a key stays in one group while its window runs, at any node",
    "window": "a keyed request is sent again only within its window",
    "false-refusal": "what may have run is not refused, unless a repeat is harmless everywhere",
    "attempts": "a request has no more attempts than the settings allow",
    "drain": "nothing goes to a server that is told to drain or has left, after the grace",
    "unlisted": "nothing goes to a server that the node's own list has not named",
    "cold": "a cold server is not overloaded by nodes that were told of its start",
    "fabricated": "what is served was made by a server for this request",
    "crash": "a process ends only when it is told to",
    "wire": "all bytes follow the protocol",
}
EXCUSES = ("kill", "stop", "hog", "link", "split", "clock")  # faults that explain a missing answer
MAX_CLOSED_SHARE = 1.0 / 200.0  # share of requests that may meet a closed connection
MAX_DETAILED_VIOLATIONS = 20  # violations of each rule recorded in detail; all are counted
TOLERANCE_MS = 50.0  # tolerance added to every time limit
DELAY_RETENTION_MS = 20_000.0  # how long scheduling delays are remembered


class Break(Struct):
    """A violation of a rule: when, by which process, and what was observed."""

    rule: str
    at: float
    who: str
    what: str


class _FaultSpan:
    """The time span of a fault."""

    __slots__ = ("end_ms", "kind", "name", "start_ms", "whom")

    def __init__(self, kind: str, name: str, whom: set[str], start_ms: float, end_ms: float) -> None:
        self.kind, self.name, self.whom, self.start_ms, self.end_ms = kind, name, whom, start_ms, end_ms


class _TrackedRequest:
    """State of a request as observed by the oracle."""

    __slots__ = ("answered", "asked", "attempt_count", "attempts", "first_ran", "left")

    def __init__(self, asked: r.Asked) -> None:
        self.asked = asked
        self.answered: int | None = None
        self.left = False
        self.attempt_count = 0
        self.attempts: list[tuple[str, float]] = []  # attempts that may have run: server, arrival time
        self.first_ran = math.inf


class KeyPlacements:
    """Servers to which attempts that may have run were sent, by idempotency key, within the key's window."""

    def __init__(self) -> None:
        # By key: arrival time, request id, server and group of each attempt.
        self._attempts_by_key: dict[str, list[tuple[float, str, str, str | int]]] = {}
        self._order: deque[tuple[float, str]] = deque()

    def arrived(self, key: str, group: str | int, record: r.Arrived, window_ms: float) -> str | None:
        """Add an attempt; returns the server of an earlier attempt in another group, if there is one."""
        while self._order and self._order[0][0] < record.at - window_ms:
            self._attempts_by_key.pop(self._order.popleft()[1], None)
        if key not in self._attempts_by_key:
            self._order.append((record.at, key))
        attempts = self._attempts_by_key.setdefault(key, [])
        other = next((server for _, _, server, other_group in attempts if other_group != group), None)
        attempts.append((record.at, record.id, record.server, group))
        return other

    def turned(self, key: str, id: str, server: str) -> None:
        """Remove an attempt that a server rejected: it never ran."""
        attempts = self._attempts_by_key.get(key)
        if attempts is not None:
            self._attempts_by_key[key] = [one for one in attempts if one[1:3] != (id, server)]


class Oracle:
    """Checks every record in order; collects violations in `breaks` and `counts`."""

    def __init__(self, plan: Plan) -> None:
        scenario = plan.scenario
        self._plan, self._rules = plan, scenario.rules
        self._classes = {cls.name: cls for cls in scenario.classes}
        self._zones = plan.names.servers
        self._tier = {name: t for t, tier in enumerate(plan.names.tiers) for name in tier}
        self._cells = {
            name: n // scenario.tiers[t].cell_size
            for t, tier in enumerate(plan.names.tiers)
            for n, name in enumerate(tier)
        }
        self.breaks: list[Break] = []
        self.counts: Counter[str] = Counter()
        self.excused = self.strayed = 0
        self._open: dict[str, _TrackedRequest] = {}
        self._keys = KeyPlacements()
        self._finished: deque[tuple[float, str]] = deque()
        self._request_count = self._closed_count = 0
        self._server_lists: dict[str, dict[str, tuple[str, float, float]]] = defaultdict(dict)
        self._index: dict[str, int] = {}
        self._cold_since: dict[str, float] = {}  # start time of cold servers
        self._cold_arrivals: dict[str, deque[tuple[float, str]]] = defaultdict(deque)
        self.cold_excess = 0.0  # largest excess over the budget, relative to the chance allowance
        self._servers_by_request: dict[str, set[str]] = defaultdict(set)  # that served the request
        self._fault_spans: list[_FaultSpan] = []
        self._scheduling_delays: deque[tuple[float, str, float]] = deque()
        self._terminated: set[str] = set()  # processes that were told to terminate
        self._handlers: dict[type, Callable[[Any], None]] = {
            r.Asked: self._on_asked,
            r.Answered: self._on_answered,
            r.Left: self._on_left,
            r.Arrived: self._on_arrived,
            r.Ended: self._on_ended,
            r.Told: self._on_told,
            r.Process: self._on_process,
            r.Faulted: self._on_fault,
            r.Started: self._on_started,
            r.Broke: lambda record: self._report("wire", record.at, record.who, record.what),
            r.Late: lambda record: self._scheduling_delays.append((record.at, record.who, record.late_ms)),
        }

    def see(self, record: r.Record) -> None:
        """Process the next record."""
        do = self._handlers.get(type(record))
        if do is not None:
            do(record)

    def finish(self, at: float) -> list[Break]:
        """Finish the run: requests without an answer count as lost."""
        for tracked in list(self._open.values()):
            if tracked.answered is None and not tracked.left:
                self._check_missing(tracked, at)
        if self._closed_count > MAX_CLOSED_SHARE * max(200, self._request_count):
            self._report(
                "lost",
                at,
                "nodes",
                f"{self._closed_count} of {self._request_count} requests met a closed connection",
            )
        return self.breaks

    def _report(self, rule: str, at: float, who: str, what: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_DETAILED_VIOLATIONS:
            self.breaks.append(Break(rule, round(at, 3), who, what))

    # Excuses

    def _allowance(self, who: str, start: float, end: float) -> float:
        """Return the time allowance for scheduling delays of the lab and of this process in an interval."""
        while self._scheduling_delays and self._scheduling_delays[0][0] < end - DELAY_RETENTION_MS:
            self._scheduling_delays.popleft()
        mine = ("lab", who)
        return sum(
            late for at, name, late in self._scheduling_delays if name in mine and start <= at <= end + late
        )

    def _is_excused(self, names: tuple[str, ...], start: float, end: float) -> bool:
        """Return whether a fault on one of these machines explains a missing answer."""
        machines = {machine(name) for name in names}
        return any(
            span.kind in EXCUSES and span.start_ms <= end and span.end_ms >= start and machines & span.whom
            for span in self._fault_spans
        )

    # Requests

    def _on_asked(self, record: r.Asked) -> None:
        self._request_count += 1
        self._open[record.id] = _TrackedRequest(record)
        while self._finished and self._finished[0][0] < record.at - REQUEST_RETENTION_MS:
            id = self._finished.popleft()[1]
            self._open.pop(id, None)
            self._servers_by_request.pop(id, None)

    def _on_left(self, record: r.Left) -> None:
        tracked = self._open.get(record.id)
        if tracked is not None:
            tracked.left = True
            self._finished.append((record.at, record.id))

    def _on_answered(self, record: r.Answered) -> None:
        tracked = self._open.get(record.id)
        if tracked is None:
            return self._report("second-answer", record.at, record.node, f"{record.id} is not open")
        if tracked.answered is not None:
            return self._report(
                "second-answer", record.at, record.node, f"{record.id} had {tracked.answered}"
            )
        tracked.answered = record.status
        self._finished.append((record.at, record.id))
        if record.status == r.SILENT:
            return self._check_missing(tracked, record.at)
        if record.status == r.CLOSED:
            gone = self._is_excused((record.node, tracked.asked.origin), tracked.asked.at, record.at)
            self._closed_count += not gone
            return
        if record.status == r.UNREACHED:
            return
        due = tracked.asked.at + tracked.asked.budget_ms + self._rules.overdue_ms + TOLERANCE_MS
        if record.at > due and record.at > due + self._allowance(record.node, tracked.asked.at, record.at):
            self._check_missing(tracked, record.at)
        if record.status == 200 and record.maker not in self._servers_by_request[record.id]:
            maker = record.maker or "nobody"
            self._report("fabricated", record.at, record.node, f"{record.id}: by {maker}, made by none")
        if record.status in REFUSALS and tracked.attempts:
            self._check_refused(tracked, record.at)

    def _check_refused(self, tracked: _TrackedRequest, at: float) -> None:
        cls = self._classes[tracked.asked.cls]
        harmless = cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")
        if not harmless:
            where = tracked.attempts[0][0]
            self._report(
                "false-refusal", at, tracked.asked.node, f"{tracked.asked.id} may have run at {where}"
            )

    def _check_missing(self, tracked: _TrackedRequest, at: float) -> None:
        asked = tracked.asked
        due = asked.at + asked.budget_ms + self._rules.overdue_ms
        names = (asked.node,) if asked.origin == CALLERS else (asked.node, asked.origin)
        if at < due and tracked.answered is None:
            return  # not due yet when the run ended
        if self._is_excused((*names, CALLERS) if asked.origin == CALLERS else names, asked.at, due):
            self.excused += 1
        else:
            self._report("lost", at, asked.node, f"{asked.id} ({asked.cls}) came at {asked.at:.1f}")

    # Attempts

    def _on_arrived(self, record: r.Arrived) -> None:
        self._check_list(record)
        self._check_cold(record)
        tracked = self._open.get(record.id)
        if tracked is None:
            return
        tracked.attempt_count += 1
        if tracked.attempt_count > self._rules.max_attempts:
            self._report("attempts", record.at, record.node, f"{record.id}: attempt {tracked.attempt_count}")
        cls = self._classes[tracked.asked.cls]
        if tracked.attempts:
            first, at = tracked.attempts[0]
            if cls.effect == "unsafe":
                what = f"{record.id} at {record.server}, after {first}"
                self._report("duplicate", record.at, record.node, what)
            elif cls.effect == "keyed":
                if self._group(first, cls.group) != self._group(record.server, cls.group):
                    self._report(
                        "group", record.at, record.node, f"{record.id} at {first}, then {record.server}"
                    )
                passed = record.began - at
                allowed = cls.window_ms + TOLERANCE_MS
                if passed > allowed and passed > allowed + self._allowance(record.node, at, record.at):
                    self._report("window", record.at, record.node, f"{record.id} again after {passed:.0f} ms")
        tracked.attempts.append((record.server, record.began))
        if cls.effect == "keyed" and cls.group != "all" and tracked.asked.key:
            self._check_key(tracked, record, cls)
        if tracked.answered in REFUSALS:
            self._check_refused(tracked, record.at)

    def _check_key(self, tracked: _TrackedRequest, record: r.Arrived, cls: Class) -> None:
        """Count keyed requests that go to more than one group; a violation only if affinity is shared."""
        group = self._group(record.server, cls.group)
        where = self._keys.arrived(tracked.asked.key, group, record, cls.window_ms)
        if where is None:
            return
        self.strayed += 1
        if "affinity" in self._plan.scenario.nodes.share:
            what = f"{tracked.asked.key}: at {where}, then {record.server}"
            self._report("strayed", record.at, record.node, what)

    def _group(self, server: str, group: str) -> str | int:
        return self._zones[server] if group == "zone" else self._cells[server] if group == "cell" else ""

    def _on_ended(self, record: r.Ended) -> None:
        tracked = self._open.get(record.id)
        if record.how == "served":
            self._servers_by_request[record.id].add(record.server)
        elif record.how == "turned" and tracked is not None:
            tracked.attempts = [attempt for attempt in tracked.attempts if attempt[0] != record.server]
            self._keys.turned(tracked.asked.key, record.id, record.server)

    def _check_list(self, record: r.Arrived) -> None:
        listed = self._server_lists[record.node].get(record.server)
        if listed is None:
            return self._report(
                "unlisted", record.at, record.node, f"sent to {record.server}, never told of it"
            )
        status, at, _ = listed
        limit = self._rules.drain_ms + TOLERANCE_MS
        passed = record.began - at
        if status == "active" or passed <= limit:
            return
        if passed > limit + self._allowance(record.node, at, record.at):
            what = f"sent to {record.server} {passed:.0f} ms after it was told {status}"
            self._report("drain", record.at, record.node, what)

    def _check_cold(self, record: r.Arrived) -> None:
        since = self._cold_since.get(record.server)
        if since is None:
            return
        tier = self._plan.scenario.tiers[self._tier[record.server]]
        passed = (record.at - since) / (1000.0 * tier.cold_s) if tier.cold_s else 1.0
        if passed >= 1.0:
            self._cold_since.pop(record.server)
            self._cold_arrivals.pop(record.server, None)
            return
        came, span = self._cold_arrivals[record.server], self._rules.overload_ms
        came.append((record.at, record.node))
        while came[0][0] < record.at - span:
            came.popleft()
        warmth = tier.cold_from + (1.0 - tier.cold_from) * passed
        work = max(1e-9, self._plan.mean_work_ms * tier.work)
        capacity = 1000.0 * tier.cores * self._plan.speeds[record.server] * warmth / work
        bearable = self._rules.overload_factor * capacity * span / 1000.0
        chance = 2.0 * math.sqrt(bearable) + 2.0
        excess = (len(came) - bearable) / chance
        if excess <= min(1.0, self.cold_excess):
            return
        start_known = 3 * sum(self._was_told_of_start(n, record.server, since) for _, n in came) >= 2 * len(
            came
        )
        if start_known:
            self.cold_excess = max(self.cold_excess, excess)
        if excess > 1.0:  # the server has collapsed: report it once
            self._cold_since.pop(record.server)
            if start_known:
                what = f"{record.server} got {len(came)} in {span:.0f} ms and could take {bearable:.0f}"
                self._report("cold", record.at, record.node, what)

    def _was_told_of_start(self, node: str, server: str, since: float) -> bool:
        listed = self._server_lists[node].get(server)
        return listed is not None and listed[2] >= since - 1.0

    # Server lists, processes and faults

    def _on_told(self, record: r.Told) -> None:
        listed = self._server_lists[record.node]
        if record.whole:
            current_names = {name for name, _, _ in record.entries}
            for name, (status, _, since) in list(listed.items()):
                if name not in current_names and status != "left":
                    listed[name] = "left", record.at, since
        for name, status, since in record.entries:
            old = listed.get(name)
            at = old[1] if old is not None and old[0] != "active" and status != "active" else record.at
            listed[name] = status, at, since

    def _on_started(self, record: r.Started) -> None:
        self._cold_since[record.server] = record.at
        self._cold_arrivals.pop(record.server, None)

    def _on_process(self, record: r.Process) -> None:
        if record.what == "started":
            self._terminated.discard(record.node)
            self._server_lists.pop(record.node, None)
        elif record.what in ("kill", "term"):
            self._terminated.add(record.node)
            if record.what == "kill":
                self._fault_spans.append(_FaultSpan("kill", "", {machine(record.node)}, record.at, record.at))
        elif record.what == "ended" and record.node not in self._terminated:
            self._report("crash", record.at, record.node, f"it ended with {record.code}")

    def _on_fault(self, record: r.Faulted) -> None:
        kind = record.name.partition(":")[2]
        whom = {machine(name) for name in record.whom}
        if record.on:
            self._fault_spans.append(_FaultSpan(kind, record.name, whom, record.at, math.inf))
            return
        for span in self._fault_spans:
            if span.name == record.name and span.end_ms == math.inf:
                span.end_ms = record.at
