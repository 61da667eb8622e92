"""The steward of a release: drives it through its stages, halts it, takes it back, and holds when in doubt.

It is whoever holds the ledger: the plan is a row there, so the ledger's token is the fence of its orders, and
a step forward is ordered only once the row that says so is kept. Steps back are ordered at once. Figures
that are missing or old, members that are missing, or that do not obey yet: then it holds, and says why.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import to_builtins
from msgspec.structs import replace

from dunlinloft.fleet.releases.judge import Evidence, Judge, Stratum, Times
from dunlinloft.fleet.releases.messages import (
    BACK,
    BAKING,
    DONE,
    ENDED,
    HALTED,
    MOST_WHY,
    NONE,
    PAUSED,
    UNDONE,
    Count,
    NotSo,
    Order,
    Plan,
    Tally,
    Wanted,
    no_count,
)

LOOK_MS = 500.0  # how often it is to look
FRESH_MS = 3_000.0  # tallies that may be older count for nothing
WINDOW_MS = 2_000.0  # what came within it is judged together
SETTLE_MS = 1_000.0  # so long after all obey a stage its baking counts
ENOUGH = 20  # calls of the new build in a stage
RARE = 3  # calls of each class in a stage, of those that make up
RARE_SHARE = 0.05  # of what there is
CRASHES = 3  # starts of new servers once more, as the member sees it that sees most
BACK_MS = 1_000.0  # between two steps back
BACK_LEAST = 0.02  # of first sends: less than that is nothing
USELESS = 0.5  # of its calls that fail: such a build bears nothing, however short the old ones are
RATE_SHARE = 0.3  # of a look's rate, in the average of rates
SAID = ("pause", "resume", "skip", "halt", "abort")


@dataclass(slots=True)
class Telling:
    """A member's tally as the steward has it."""

    writer: str
    life: int
    age_ms: float
    tally: Tally


@dataclass(slots=True)
class _Before:
    """What a member had counted at the last look."""

    life: int
    counts: dict[tuple[int, int], Count]


class Steward:
    """What the ledger's holder does for releases."""

    def __init__(
        self, write: Callable[[Plan], str], number_of: Callable[[str], int], wall_s: Callable[[], int]
    ) -> None:
        """`write` has a plan kept in the ledger, "" or why not; `number_of` is a server's number."""
        self._write, self._number_of, self._wall_s = write, number_of, wall_s
        self.token = 0  # 0: this process is not the steward
        self.plan: Plan | None = None  # as it is in force; going back it may be ahead of the ledger
        self._kept: Plan | None = None  # as the ledger has it,
        self._wanted: Plan | None = None  # and as it is on its way there
        self.order = NONE
        self._step = 0
        self._looked_ms = 0.0
        self._begin()

    # Beginning and ending

    def start(self, token: int, plan: Plan | None, now: float) -> None:
        """The ledger is ours and open, and has this plan."""
        self.stop()
        self.token, self.plan, self._kept, self._looked_ms, self._step = token, plan, plan, now, 0
        self._begin()
        # What the former steward ordered last, which the row may not say yet, is seen by the tallies.
        self._await = True

    def stop(self) -> None:
        """It is another's."""
        self.token, self.plan, self._kept, self._wanted, self.order = 0, None, None, None, NONE

    def _begin(self) -> None:
        """Judge from the beginning; counts go on from what is seen next."""
        self.judge = Judge()
        self._before: dict[str, _Before] = {}
        self._window: dict[tuple[int, int], Count] = {}  # by class and zone, what all counted since
        self._window_ms = 0.0
        self._stage_seen: dict[int, tuple[int, int]] = {}  # calls of new servers, and of all, by class
        self._baked_ms = self._obeyed_ms = 0.0  # of the stage; for how long all have obeyed the order
        self._per_weight = 0.0  # the most calls a second that a unit of the old servers' weight has borne
        self._rates = self._weights = (0.0, 0.0)  # of new and of old servers: calls a second, weight
        self._failed = (0.0, 0.0)  # calls of the new build lately, and those of them that failed
        self._restarted, self._back_ms = 0, -1e18
        self._await = False  # the former steward's last order is not known yet
        self.held = ""  # why it does not go on; "" where it does
        self.short = False  # the old servers can't bear all

    def _keep(self, plan: Plan) -> str:
        """Have the ledger keep what the plan is from now on."""
        if self._wanted is not None:
            return "a change of the release is on its way to the ledger"
        plan = replace(plan, at_s=self._wall_s())
        why = self._write(plan)
        self._wanted = plan if not why else None
        return why

    def settled(self, kept: bool) -> None:
        """The ledger has kept what was on its way, or it is not known whether it has."""
        plan, self._wanted = self._wanted, None
        if plan is None or not kept or not self.token:
            return
        was, self._kept = self.plan, plan
        if was is not None and was.id == plan.id and was.state == BACK and plan.state != UNDONE:
            return  # it goes back, whatever was on its way; `look` has that kept too
        self.plan = plan
        if was is None or was.id != plan.id:
            self._begin()
        if was is None or (was.id, was.stage) != (plan.id, plan.stage):
            self._baked_ms = self._obeyed_ms = 0.0
            self._stage_seen = self.judge.seen()
        self._say()

    # Orders

    def _say(self) -> None:
        """Order what the plan says, if that is something else."""
        plan = self.plan
        if plan is None or not self.token or self._await:
            return
        named = tuple(self._number_of(name) for name in plan.named)
        live = plan.state not in ENDED
        share = 1.0 if plan.state == DONE else plan.share
        back = plan.state == BACK
        wanted = Order(self.token, self._step, plan.id, share, plan.since_ms, named, live, back)
        if plan.state == DONE:
            wanted = Order(self.token, self._step)
        if wanted != self.order:
            self._step += 1
            self.order = replace(wanted, step=self._step)
            self._obeyed_ms = 0.0

    # What operators say

    def begin(self, wanted: Wanted, by: str, why: str) -> str:
        """Begin a release; "" or why not."""
        if not self.token:
            return "this process does not hold the ledger, and so is not the steward"
        if self.plan is not None and self.plan.state not in ENDED:
            return f"release {self.plan.id} is {self.plan.state}: one at a time"
        number = self.plan.id + 1 if self.plan is not None else 1
        plan = Plan(
            number, BAKING, wanted.stages, wanted.bake_s, 0, wanted.stages[0], wanted.since_ms, wanted.names,
            by[:30], why[:MOST_WHY],
        )  # fmt: skip
        return self._keep(plan)

    def say(self, what: str, by: str, why: str) -> str:
        """Pause, resume, skip, halt or abort; "" or why not."""
        plan = self.plan
        if what not in SAID:
            raise NotSo(f"what: {what!r:.20}: one of {', '.join(SAID)} was expected")
        if not self.token or plan is None:
            return "there is no release here" if self.token else "this process is not the steward"
        if plan.state in ENDED:
            return f"release {plan.id} is {plan.state}"
        if plan.state == BACK and what != "abort":
            return f"release {plan.id} goes back, and that can't be stopped: start another when it is undone"
        if what == "skip" and (plan.state != BAKING or self.judge.worse()):
            return "only a stage that bakes, and does no harm, can be skipped"
        state = {"pause": PAUSED, "resume": BAKING, "halt": HALTED, "abort": BACK, "skip": BAKING}[what]
        changed = replace(plan, state=state, by=by[:30], why=(why or what)[:MOST_WHY])
        return self._keep(self._next(changed) if what == "skip" else changed)

    def _next(self, plan: Plan) -> Plan:
        """The plan with its next stage; after the last it is done."""
        if plan.stage + 1 >= len(plan.stages):
            return replace(plan, state=DONE, share=1.0)
        stage = plan.stage + 1
        return replace(plan, stage=stage, share=plan.stages[stage])

    # Looking

    def look(self, told: list[Telling], members: int, now: float) -> Order | None:
        """Judge what members tell, of whom so many count; the order in force, to be told to all again."""
        passed, self._looked_ms = min(2.0 * LOOK_MS, now - self._looked_ms), now
        plan = self.plan
        if not self.token or plan is None:
            return None
        told = [one for one in told if one.age_ms <= FRESH_MS]
        if self._await and not self._taken_over(told, members, plan):
            return None
        self._say()
        if plan.state in ENDED:
            self.held = ""
            return self.order
        self._take(told, passed)
        self.held = self._why_held(told, members)
        self._decide(plan, passed, now)
        plan, kept = self.plan or plan, self._kept
        if plan.state == BACK and self._wanted is None and (kept is None or kept.state != BACK):
            self._keep(plan)
        return self.order

    def _taken_over(self, told: list[Telling], members: int, plan: Plan) -> bool:
        """Wait for a majority's tallies: the former steward may have ordered less than its last row says."""
        self.held = f"{len(told)} of {members} members tell, and this steward is new"
        if plan.state not in ENDED and 2 * len(told) <= members:
            return False
        last = max((one.tally.order for one in told), key=Order.key, default=NONE)
        # A member that stood still may tell of an earlier stage: only what was ordered last counts.
        if plan.state not in ENDED and last.id == plan.id and last.back:
            self.plan = replace(plan, state=BACK, share=min(plan.share, last.share))
        self._await = False
        return True

    def _why_held(self, told: list[Telling], members: int) -> str:
        if len(told) < members:
            return f"figures of {len(told)} of {members} members are there"
        behind = sorted(one.writer for one in told if one.tally.order != self.order)
        if behind:
            self._obeyed_ms = 0.0
            return f"{len(behind)} members do not obey yet, {behind[0]} among them"
        return ""

    def _take(self, told: list[Telling], passed: float) -> None:
        """What came since the last look; every so often all that came together is judged."""
        new = old = failed = 0
        for one in told:
            if one.tally.order.id != self.order.id:
                continue
            counts = {(c.cls, c.zone): c for c in one.tally.counts}
            before = self._before.get(one.writer)
            self._before[one.writer] = _Before(one.life, counts)
            # What was counted before this steward looked, or in an unknown life, is left out.
            if before is None or before.life != one.life:
                continue
            for key, count in counts.items():
                since = _since(count, before.counts.get(key, no_count(*key)))
                if since is not None:
                    _add(self._window.setdefault(key, no_count(*key)), since)
                    new, old, failed = new + since.new, old + since.old, failed + since.new_failed
        self._window_ms += passed
        if self._window_ms >= WINDOW_MS:
            self._judge()
        seconds = max(1e-3, passed / 1000.0)
        self._rates = (
            self._rates[0] + RATE_SHARE * (new / seconds - self._rates[0]),
            self._rates[1] + RATE_SHARE * (old / seconds - self._rates[1]),
        )
        self._failed = 0.9 * self._failed[0] + new, 0.9 * self._failed[1] + failed
        self._weights = sum(o.tally.new_weight for o in told), sum(o.tally.old_weight for o in told)
        if self._weights[1] > 0.0:
            self._per_weight = max(self._per_weight, self._rates[1] / self._weights[1])
        self._restarted = max(self._restarted, *(one.tally.restarts for one in told), 0)

    def _judge(self) -> None:
        calls: dict[int, list[tuple[Stratum, Times]]] = {}
        for c in self._window.values():
            failed = Stratum(c.new, c.new_failed, c.old, c.old_failed)
            times = Times(tuple(c.new_times), tuple(c.old_times))
            calls.setdefault(c.cls, []).append((failed, times))
        self.judge.look(calls)
        self._window, self._window_ms = {}, 0.0

    def _decide(self, plan: Plan, passed: float, now: float) -> None:
        if plan.state == BACK:
            return self._back(plan, now)
        if self.judge.worse():
            return self._turn(plan, self._say_why(), now)
        if self._restarted >= CRASHES:
            return self._turn(plan, f"new servers have started once more, {self._restarted} times", now)
        if plan.state != BAKING or self.held:
            return
        self._obeyed_ms += passed
        if self._obeyed_ms <= SETTLE_MS:
            return
        self._baked_ms += passed
        self.held = self._too_little()
        if not self.held and self._baked_ms >= 1000.0 * plan.bake_s and self._wanted is None:
            self._keep(replace(self._next(plan), by="steward", why="baked, and seen enough"))

    def _too_little(self) -> str:
        """Why what was seen in this stage is not enough; "" where it is."""
        seen = self.judge.seen()
        new = {cls: count - self._stage_seen.get(cls, (0, 0))[0] for cls, (count, _) in seen.items()}
        whole, calls = sum(new.values()), sum(count for _, count in seen.values())
        if whole < ENOUGH:
            return f"{whole} calls of the new build were seen in this stage, and {ENOUGH} are wanted"
        for cls, count in new.items():
            if count < RARE and seen[cls][1] >= RARE_SHARE * calls:
                return f"{count} calls of one class were seen at the new build, and {RARE} are wanted"
        return ""

    def _say_why(self) -> str:
        first = self.judge.evidence()[0]
        return f"{first.metric}: {first.new_bad} of {first.new} new, {first.old_bad} of {first.old} old calls"

    def _turn(self, plan: Plan, why: str, now: float) -> None:
        """Take it back: ordered at once, and kept as soon as the ledger can."""
        self.plan = replace(plan, state=BACK, by="steward", why=why[:MOST_WHY])
        self._back(self.plan, now)

    def _back(self, plan: Plan, now: float) -> None:
        """One step back, as far as the old servers can bear by what they have borne."""
        if now - self._back_ms < BACK_MS:
            return
        self._back_ms = now
        whole = sum(self._rates)
        bear = self._per_weight * self._weights[1]
        useless = self._failed[0] >= 1.0 and self._failed[1] >= USELESS * self._failed[0]
        share = 0.0 if useless or not whole else max(0.0, 1.0 - bear / whole)
        self.short = whole > 0.0 and bear < (1.0 - BACK_LEAST) * whole
        share = min(plan.share, share if share >= BACK_LEAST else 0.0)
        if share < plan.share:
            self.plan = replace(plan, share=share)
            self._say()
        elif not share and not self.held and self._wanted is None:  # all obey that it is nothing
            self._keep(replace(plan, state=UNDONE))

    def show(self) -> dict[str, Any]:
        """What operators see."""
        plan = self.plan
        evidence: list[Evidence] = self.judge.evidence()
        return {
            "steward": bool(self.token),
            "release": to_builtins(plan) if plan is not None else None,
            "held": self.held,
            "short": self.short,
            "baked_s": round(self._baked_ms / 1000.0, 1),
            "value": round(self.judge.value(), 3),
            "evidence": [
                {
                    "metric": e.metric, "class": e.cls, "new": e.new, "new_bad": e.new_bad, "old": e.old,
                    "old_bad": e.old_bad, "value": round(e.value, 3),
                }
                for e in evidence
            ],
            "rates": {"new": round(self._rates[0], 1), "old": round(self._rates[1], 1)},
        }  # fmt: skip


def _since(count: Count, before: Count) -> Count | None:
    """What one member counted since; None where nothing came, or it began anew."""
    found = no_count(count.cls, count.zone)
    for name in ("new", "new_failed", "old", "old_failed"):
        setattr(found, name, getattr(count, name) - getattr(before, name))
    found.new_times = [now - then for now, then in zip(count.new_times, before.new_times, strict=True)]
    found.old_times = [now - then for now, then in zip(count.old_times, before.old_times, strict=True)]
    return found if found.new + found.old > 0 and min(found.new, found.old) >= 0 else None


def _add(whole: Count, more: Count) -> None:
    for name in ("new", "new_failed", "old", "old_failed"):
        setattr(whole, name, getattr(whole, name) + getattr(more, name))
    whole.new_times = [a + b for a, b in zip(whole.new_times, more.new_times, strict=True)]
    whole.old_times = [a + b for a, b in zip(whole.old_times, more.old_times, strict=True)]
