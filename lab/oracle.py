"""Sees all that happened and says which rules were broken, each by its name.

Written from the wording of the published pages, and of nothing in the node: it keeps its own books. What
a fault explains is excused: a request at a node that was killed, say. Bounds in time allow for as much
as the lab itself, or that node's process, got its turn late, so that a busy machine changes no verdict.
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
    "cold": "a cold server is not pushed over by nodes that were told of its start",
    "fabricated": "what is served was made by a server for this request",
    "crash": "a process ends only when it is told to",
    "wire": "all bytes follow the protocol",
}
EXCUSES = ("kill", "stop", "hog", "link", "split", "clock")  # faults that explain a missing answer
CLOSED_SHARE = 1.0 / 200.0  # of the requests may meet a closed connection
MOST_KEPT = 20  # breaks of each rule are kept in words; all are counted
SPARE_MS = 50.0  # every limit on sockets is so much longer
LATE_KEPT_MS = 20_000.0


class Break(Struct):
    """A rule that was broken: when, by whom, and what was seen."""

    rule: str
    at: float
    who: str
    what: str


class _Span:
    """A fault, from when to when."""

    __slots__ = ("begins", "ends", "kind", "name", "whom")

    def __init__(self, kind: str, name: str, whom: set[str], begins: float, ends: float) -> None:
        self.kind, self.name, self.whom, self.begins, self.ends = kind, name, whom, begins, ends


class _Taken:
    """A request as the oracle knows it."""

    __slots__ = ("answered", "asked", "attempts", "first_ran", "left", "sent")

    def __init__(self, asked: r.Asked) -> None:
        self.asked = asked
        self.answered: int | None = None
        self.left = False
        self.sent = 0
        self.attempts: list[tuple[str, float]] = []  # those that may have run: server, when it came
        self.first_ran = math.inf


class Keys:
    """Where the attempts with each key went that may have run, while its window runs."""

    def __init__(self) -> None:
        self._went: dict[str, list[tuple[float, str, str, str | int]]] = {}  # when, id, server, group
        self._order: deque[tuple[float, str]] = deque()

    def arrived(self, key: str, group: str | int, record: r.Arrived, window_ms: float) -> str | None:
        """One more; the server of another group that had one before, if there is such."""
        while self._order and self._order[0][0] < record.at - window_ms:
            self._went.pop(self._order.popleft()[1], None)
        if key not in self._went:
            self._order.append((record.at, key))
        went = self._went.setdefault(key, [])
        other = next((server for _, _, server, its in went if its != group), None)
        went.append((record.at, record.id, record.server, group))
        return other

    def turned(self, key: str, id: str, server: str) -> None:
        """One has been turned away: it never ran."""
        went = self._went.get(key)
        if went is not None:
            self._went[key] = [one for one in went if one[1:3] != (id, server)]


class Oracle:
    """Told every record in order; `breaks` and `counts` say what was wrong."""

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
        self._open: dict[str, _Taken] = {}
        self._keys = Keys()
        self._over: deque[tuple[float, str]] = deque()
        self._asked = self._closed = 0
        self._told: dict[str, dict[str, tuple[str, float, float]]] = defaultdict(dict)
        self._index: dict[str, int] = {}
        self._started: dict[str, float] = {}  # cold servers, and since when
        self._cold: dict[str, deque[tuple[float, str]]] = defaultdict(deque)
        self.cold_excess = 0.0  # the most calls beyond the budget, over what is put down to chance
        self._served: dict[str, set[str]] = defaultdict(set)  # by request: who made an answer
        self._spans: list[_Span] = []
        self._late: deque[tuple[float, str, float]] = deque()
        self._told_to: set[str] = set()  # processes that were told to end
        self._see: dict[type, Callable[[Any], None]] = {
            r.Asked: self._on_asked,
            r.Answered: self._on_answered,
            r.Left: self._on_left,
            r.Arrived: self._on_arrived,
            r.Ended: self._on_ended,
            r.Told: self._on_told,
            r.Process: self._on_process,
            r.Faulted: self._on_fault,
            r.Started: self._on_started,
            r.Broke: lambda record: self._break("wire", record.at, record.who, record.what),
            r.Late: lambda record: self._late.append((record.at, record.who, record.late_ms)),
        }

    def see(self, record: r.Record) -> None:
        """Take the next record."""
        do = self._see.get(type(record))
        if do is not None:
            do(record)

    def finish(self, at: float) -> list[Break]:
        """The day is over: what has no answer by now is lost."""
        for taken in list(self._open.values()):
            if taken.answered is None and not taken.left:
                self._missing(taken, at)
        if self._closed > CLOSED_SHARE * max(200, self._asked):
            self._break(
                "lost", at, "nodes", f"{self._closed} of {self._asked} requests met a closed connection"
            )
        return self.breaks

    def _break(self, rule: str, at: float, who: str, what: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MOST_KEPT:
            self.breaks.append(Break(rule, round(at, 3), who, what))

    # Excuses

    def _allowance(self, who: str, start: float, end: float) -> float:
        """How much later than it should a look at this time may be, for want of the processor."""
        while self._late and self._late[0][0] < end - LATE_KEPT_MS:
            self._late.popleft()
        mine = ("lab", who)
        return sum(late for at, name, late in self._late if name in mine and start <= at <= end + late)

    def _explained(self, names: tuple[str, ...], start: float, end: float) -> bool:
        """Whether a fault at one of these explains that an answer is missing."""
        machines = {machine(name) for name in names}
        return any(
            span.kind in EXCUSES and span.begins <= end and span.ends >= start and machines & span.whom
            for span in self._spans
        )

    # Requests

    def _on_asked(self, record: r.Asked) -> None:
        self._asked += 1
        self._open[record.id] = _Taken(record)
        while self._over and self._over[0][0] < record.at - REQUEST_RETENTION_MS:
            id = self._over.popleft()[1]
            self._open.pop(id, None)
            self._served.pop(id, None)

    def _on_left(self, record: r.Left) -> None:
        taken = self._open.get(record.id)
        if taken is not None:
            taken.left = True
            self._over.append((record.at, record.id))

    def _on_answered(self, record: r.Answered) -> None:
        taken = self._open.get(record.id)
        if taken is None:
            return self._break("second-answer", record.at, record.node, f"{record.id} is not open")
        if taken.answered is not None:
            return self._break("second-answer", record.at, record.node, f"{record.id} had {taken.answered}")
        taken.answered = record.status
        self._over.append((record.at, record.id))
        if record.status == r.SILENT:
            return self._missing(taken, record.at)
        if record.status == r.CLOSED:
            gone = self._explained((record.node, taken.asked.origin), taken.asked.at, record.at)
            self._closed += not gone
            return
        if record.status == r.UNREACHED:
            return
        due = taken.asked.at + taken.asked.budget_ms + self._rules.overdue_ms + SPARE_MS
        if record.at > due and record.at > due + self._allowance(record.node, taken.asked.at, record.at):
            self._missing(taken, record.at)
        if record.status == 200 and record.maker not in self._served[record.id]:
            by = record.maker or "nobody"
            self._break("fabricated", record.at, record.node, f"{record.id}: by {by}, made by none")
        if record.status in REFUSALS and taken.attempts:
            self._refused(taken, record.at)

    def _refused(self, taken: _Taken, at: float) -> None:
        cls = self._classes[taken.asked.cls]
        harmless = cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")
        if not harmless:
            where = taken.attempts[0][0]
            self._break("false-refusal", at, taken.asked.node, f"{taken.asked.id} may have run at {where}")

    def _missing(self, taken: _Taken, at: float) -> None:
        asked = taken.asked
        due = asked.at + asked.budget_ms + self._rules.overdue_ms
        names = (asked.node,) if asked.origin == CALLERS else (asked.node, asked.origin)
        if at < due and taken.answered is None:
            return  # its time has not run out: the day ended first
        if self._explained((*names, CALLERS) if asked.origin == CALLERS else names, asked.at, due):
            self.excused += 1
        else:
            self._break("lost", at, asked.node, f"{asked.id} ({asked.cls}) came at {asked.at:.1f}")

    # Attempts

    def _on_arrived(self, record: r.Arrived) -> None:
        self._check_list(record)
        self._check_cold(record)
        taken = self._open.get(record.id)
        if taken is None:
            return
        taken.sent += 1
        if taken.sent > self._rules.max_attempts:
            self._break("attempts", record.at, record.node, f"{record.id}: attempt {taken.sent}")
        cls = self._classes[taken.asked.cls]
        if taken.attempts:
            first, at = taken.attempts[0]
            if cls.effect == "unsafe":
                what = f"{record.id} at {record.server}, after {first}"
                self._break("duplicate", record.at, record.node, what)
            elif cls.effect == "keyed":
                if self._group(first, cls.group) != self._group(record.server, cls.group):
                    self._break(
                        "group", record.at, record.node, f"{record.id} at {first}, then {record.server}"
                    )
                passed = record.began - at
                allowed = cls.window_ms + SPARE_MS
                if passed > allowed and passed > allowed + self._allowance(record.node, at, record.at):
                    self._break("window", record.at, record.node, f"{record.id} again after {passed:.0f} ms")
        taken.attempts.append((record.server, record.began))
        if cls.effect == "keyed" and cls.group != "all" and taken.asked.key:
            self._check_key(taken, record, cls)
        if taken.answered in REFUSALS:
            self._refused(taken, record.at)

    def _check_key(self, taken: _Taken, record: r.Arrived, cls: Class) -> None:
        """What one key asks for goes to one group: counted, and a rule where affinity is shared."""
        group = self._group(record.server, cls.group)
        where = self._keys.arrived(taken.asked.key, group, record, cls.window_ms)
        if where is None:
            return
        self.strayed += 1
        if "affinity" in self._plan.scenario.nodes.share:
            what = f"{taken.asked.key}: at {where}, then {record.server}"
            self._break("strayed", record.at, record.node, what)

    def _group(self, server: str, group: str) -> str | int:
        return self._zones[server] if group == "zone" else self._cells[server] if group == "cell" else ""

    def _on_ended(self, record: r.Ended) -> None:
        taken = self._open.get(record.id)
        if record.how == "served":
            self._served[record.id].add(record.server)
        elif record.how == "turned" and taken is not None:
            taken.attempts = [attempt for attempt in taken.attempts if attempt[0] != record.server]
            self._keys.turned(taken.asked.key, record.id, record.server)

    def _check_list(self, record: r.Arrived) -> None:
        told = self._told[record.node].get(record.server)
        if told is None:
            return self._break(
                "unlisted", record.at, record.node, f"sent to {record.server}, never told of it"
            )
        status, at, _ = told
        limit = self._rules.drain_ms + SPARE_MS
        passed = record.began - at
        if status == "active" or passed <= limit:
            return
        if passed > limit + self._allowance(record.node, at, record.at):
            what = f"sent to {record.server} {passed:.0f} ms after it was told {status}"
            self._break("drain", record.at, record.node, what)

    def _check_cold(self, record: r.Arrived) -> None:
        since = self._started.get(record.server)
        if since is None:
            return
        tier = self._plan.scenario.tiers[self._tier[record.server]]
        passed = (record.at - since) / (1000.0 * tier.cold_s) if tier.cold_s else 1.0
        if passed >= 1.0:
            self._started.pop(record.server)
            self._cold.pop(record.server, None)
            return
        came, span = self._cold[record.server], self._rules.overload_ms
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
        told = 3 * sum(self._knows(node, record.server, since) for _, node in came) >= 2 * len(came)
        if told:
            self.cold_excess = max(self.cold_excess, excess)
        if excess > 1.0:  # it has fallen over: whose fault that is counts once
            self._started.pop(record.server)
            if told:
                what = f"{record.server} got {len(came)} in {span:.0f} ms and could take {bearable:.0f}"
                self._break("cold", record.at, record.node, what)

    def _knows(self, node: str, server: str, since: float) -> bool:
        told = self._told[node].get(server)
        return told is not None and told[2] >= since - 1.0

    # The world

    def _on_told(self, record: r.Told) -> None:
        told = self._told[record.node]
        if record.whole:
            listed = {name for name, _, _ in record.entries}
            for name, (status, _, since) in list(told.items()):
                if name not in listed and status != "left":
                    told[name] = "left", record.at, since
        for name, status, since in record.entries:
            old = told.get(name)
            at = old[1] if old is not None and old[0] != "active" and status != "active" else record.at
            told[name] = status, at, since

    def _on_started(self, record: r.Started) -> None:
        self._started[record.server] = record.at
        self._cold.pop(record.server, None)

    def _on_process(self, record: r.Process) -> None:
        if record.what == "started":
            self._told_to.discard(record.node)
            self._told.pop(record.node, None)
        elif record.what in ("kill", "term"):
            self._told_to.add(record.node)
            if record.what == "kill":
                self._spans.append(_Span("kill", "", {machine(record.node)}, record.at, record.at))
        elif record.what == "ended" and record.node not in self._told_to:
            self._break("crash", record.at, record.node, f"it ended with {record.code}")

    def _on_fault(self, record: r.Faulted) -> None:
        kind = record.name.partition(":")[2]
        whom = {machine(name) for name in record.whom}
        if record.on:
            self._spans.append(_Span(kind, record.name, whom, record.at, math.inf))
            return
        for span in self._spans:
            if span.name == record.name and span.ends == math.inf:
                span.ends = record.at
