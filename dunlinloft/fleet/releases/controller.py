"""The release controller: drives a release through its stages, halts it or rolls it back.

It runs at the state table's primary. The plan is a row of that table, so orders carry the table's fencing
token, and a step forward is ordered only once its row is committed. Steps back are ordered at once. While
tallies are missing or outdated, or members have not applied the order, the controller waits and reports why.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from msgspec import to_builtins
from msgspec.structs import replace

from dunlinloft.fleet.releases.judge import ClassCalls, ReleaseJudge
from dunlinloft.fleet.releases.messages import (
    MAX_OPERATOR_CHARS,
    MAX_REASON_CHARS,
    NO_ORDER,
    TERMINAL_STATES,
    Order,
    Plan,
    ReleaseState,
)
from dunlinloft.fleet.releases.request import InvalidReleaseRequest, ReleaseRequest
from dunlinloft.fleet.releases.traffic import MemberTally, ReleaseTraffic

EVALUATION_INTERVAL_MS = 500.0  # how often the host calls `evaluate`
MAX_TALLY_AGE_MS = 3_000.0  # an older tally counts as missing
ORDER_SETTLING_MS = 1_000.0  # bake time counts from this long after all members have applied the order
MIN_STAGE_CALLS = 20  # calls to the new build before a stage ends
MIN_CLASS_CALLS = 3  # the same for each class that is not rare
COMMON_CLASS_SHARE = 0.05  # of all calls, from which a class is not rare
MAX_RESTARTS = 3  # restarts of new servers, as counted by one member, that cause a rollback
ROLLBACK_STEP_INTERVAL_MS = 1_000.0
MIN_ROLLBACK_SHARE = 0.02  # of first attempts; a rollback reduces a smaller share to 0
CONTROLLER = "steward"  # the author of the controller's own changes, stored in the plan


class ReleaseCommand(StrEnum):
    """Operators' commands to a release in progress."""

    PAUSE = "pause"
    RESUME = "resume"
    SKIP = "skip"  # the rest of this stage
    HALT = "halt"
    ABORT = "abort"


STATE_AFTER = {
    ReleaseCommand.PAUSE: ReleaseState.PAUSED,
    ReleaseCommand.RESUME: ReleaseState.BAKING,
    ReleaseCommand.SKIP: ReleaseState.BAKING,
    ReleaseCommand.HALT: ReleaseState.HALTED,
    ReleaseCommand.ABORT: ReleaseState.ROLLING_BACK,
}


class ReleaseRejected(Exception):
    """A command that is not possible at present; the text tells operators why."""


class ReleaseController:
    """Controls the releases of one fleet; idle unless the process is the state table's primary.

    Parameters
    ----------
    write_plan
        Starts to write a plan to the state table; raises `ReleaseRejected` if that is impossible. The host
        calls `write_completed` once the outcome is known.
    server_id_of
        Returns the id of the server with a name.
    wall_clock_s
        Returns Unix time. All other times are the host's monotonic clock in ms.
    """

    def __init__(
        self, write_plan: Callable[[Plan], None], server_id_of: Callable[[str], int],
        wall_clock_s: Callable[[], int],
    ) -> None:  # fmt: skip
        self._write_plan = write_plan
        self._server_id_of = server_id_of
        self._wall_clock_s = wall_clock_s
        self.token = 0  # 0: this process is not the controller
        self.plan: Plan | None = None  # current; during a rollback it may be ahead of the state table
        self._committed: Plan | None = None  # as stored in the state table
        self._writing: Plan | None = None  # a write whose outcome is not known yet
        self.order = NO_ORDER
        self._last_step = 0
        self._last_evaluation_ms = 0.0
        self._reset()

    # Start and stop

    def start(self, token: int, plan: Plan | None, now: float) -> None:
        """Start to control: this process is the state table's primary, and the table holds this plan."""
        self.stop()
        self.token = token
        self.plan = plan
        self._committed = plan
        self._last_evaluation_ms = now
        self._last_step = 0
        self._reset()
        self._taking_over = True

    def stop(self) -> None:
        """Stop: this process is no longer the primary."""
        self.token = 0
        self.plan = None
        self._committed = None
        self._writing = None
        self.order = NO_ORDER

    def _reset(self) -> None:
        """Reset the tests and counts; only calls from now on count."""
        self.judge = ReleaseJudge()
        self._traffic = ReleaseTraffic()
        self._calls_before_stage: dict[int, ClassCalls] = {}  # by class
        self._baked_ms = 0.0  # bake time of this stage so far
        self._applied_ms = 0.0  # how long all members have applied the order
        self._last_rollback_step_ms = -1e18
        self._taking_over = False  # the former controller's last order is not known from tallies yet
        self.waiting_for = ""  # why the release does not proceed; empty if it does
        self.capacity_short = False  # the old servers can't serve all calls

    def _write(self, plan: Plan) -> None:
        """Write the new plan to the state table; raises `ReleaseRejected`."""
        if self._writing is not None:
            raise ReleaseRejected("another change of the release is being written to the state table")
        plan = replace(plan, changed_at_s=self._wall_clock_s())
        self._write_plan(plan)
        self._writing = plan

    def _write_or_retry(self, plan: Plan) -> None:
        """Write a change by the controller itself; if it is rejected, the next evaluation retries it."""
        try:
            self._write(plan)
        except ReleaseRejected:
            return

    def write_completed(self, committed: bool) -> None:
        """Handle the outcome of the last `write_plan`; an unknown outcome counts as not committed."""
        plan = self._writing
        self._writing = None
        if plan is None or not committed or not self.token:
            return
        previous = self.plan
        self._committed = plan
        if (
            previous is not None
            and previous.id == plan.id
            and previous.state == ReleaseState.ROLLING_BACK
            and plan.state != ReleaseState.ROLLED_BACK
        ):
            # A rollback began during this write; it continues, and `evaluate` writes it as well.
            return
        self.plan = plan
        if previous is None or previous.id != plan.id:
            self._reset()
        if previous is None or (previous.id, previous.stage) != (plan.id, plan.stage):
            self._baked_ms = 0.0
            self._applied_ms = 0.0
            self._calls_before_stage = self.judge.calls_by_class()
        self._update_order()

    # Orders

    def _update_order(self) -> None:
        """Issue a new order if the plan differs from the last one."""
        plan = self.plan
        if plan is None or not self.token or self._taking_over:
            return
        if plan.state == ReleaseState.DONE:
            new_order = Order(
                self.token, self._last_step
            )  # no release: the new build is treated like any other now
        else:
            server_ids = tuple(self._server_id_of(name) for name in plan.server_names)
            active = plan.state not in TERMINAL_STATES
            rolling_back = plan.state == ReleaseState.ROLLING_BACK
            new_order = Order(
                self.token, self._last_step, plan.id, plan.share, plan.started_since_ms, server_ids, active,
                rolling_back,
            )  # fmt: skip
        if new_order != self.order:
            self._last_step += 1
            self.order = replace(new_order, step=self._last_step)
            self._applied_ms = 0.0

    # Operators' commands

    def start_release(self, request: ReleaseRequest, operator: str, reason: str) -> None:
        """Request a release, which starts once its plan is committed; raises `ReleaseRejected`."""
        if not self.token:
            raise ReleaseRejected("this process does not lead the state table, so it is not the controller")
        if self.plan is not None and self.plan.state not in TERMINAL_STATES:
            raise ReleaseRejected(f"release {self.plan.id} is {self.plan.state}; releases run one at a time")
        release_id = self.plan.id + 1 if self.plan is not None else 1
        plan = Plan(
            release_id, ReleaseState.BAKING, request.stages, request.bake_s, 0, request.stages[0],
            request.started_since_ms, request.server_names, operator[:MAX_OPERATOR_CHARS],
            reason[:MAX_REASON_CHARS],
        )  # fmt: skip
        self._write(plan)

    def command(self, name: str, operator: str, reason: str) -> None:
        """Carry out a `ReleaseCommand`; raises `InvalidReleaseRequest` or `ReleaseRejected`."""
        try:
            command = ReleaseCommand(name)
        except ValueError:
            known = ", ".join(ReleaseCommand)
            raise InvalidReleaseRequest(f"what: {name!r:.20} is unknown; expected one of {known}") from None
        plan = self.plan
        if not self.token:
            raise ReleaseRejected("this process is not the release controller")
        if plan is None:
            raise ReleaseRejected("there is no release")
        if plan.state in TERMINAL_STATES:
            raise ReleaseRejected(f"release {plan.id} is {plan.state}")
        if plan.state == ReleaseState.ROLLING_BACK and command is not ReleaseCommand.ABORT:
            raise ReleaseRejected(
                f"release {plan.id} is being rolled back; start another one when that is done"
            )
        skip = command is ReleaseCommand.SKIP
        if skip and (plan.state != ReleaseState.BAKING or self.judge.is_worse()):
            raise ReleaseRejected("only a stage that is baking and shows no harm can be skipped")
        changed = replace(
            plan,
            state=STATE_AFTER[command],
            changed_by=operator[:MAX_OPERATOR_CHARS],
            reason=(reason or name)[:MAX_REASON_CHARS],
        )
        self._write(self._next_stage(changed) if skip else changed)

    def _next_stage(self, plan: Plan) -> Plan:
        """Return the plan in its next stage, or done after the last stage."""
        if plan.stage + 1 >= len(plan.stages):
            return replace(plan, state=ReleaseState.DONE, share=1.0)
        stage = plan.stage + 1
        return replace(plan, stage=stage, share=plan.stages[stage])

    # Evaluation

    def evaluate(self, tallies: list[MemberTally], member_count: int, now: float) -> Order | None:
        """Evaluate the members' tallies; return the current order to send to all, or None if there is none.

        `member_count` is the number of live members, including this one. The host calls this method every
        `EVALUATION_INTERVAL_MS` while its lease is valid.
        """
        elapsed_ms = min(2.0 * EVALUATION_INTERVAL_MS, now - self._last_evaluation_ms)
        self._last_evaluation_ms = now
        plan = self.plan
        if not self.token or plan is None:
            return None
        tallies = [report for report in tallies if report.age_ms <= MAX_TALLY_AGE_MS]
        if self._taking_over and not self._take_over(tallies, member_count, plan):
            return None
        self._update_order()
        if plan.state in TERMINAL_STATES:
            self.waiting_for = ""
            return self.order
        self._traffic.add(tallies, self.order.release_id, elapsed_ms)
        strata = self._traffic.take_window()
        if strata is not None:
            self.judge.update(strata)
        self.waiting_for = self._missing_members(tallies, member_count)
        self._decide(plan, elapsed_ms, now)
        plan = self.plan or plan
        committed = self._committed
        if (
            plan.state == ReleaseState.ROLLING_BACK
            and self._writing is None
            and (committed is None or committed.state != ReleaseState.ROLLING_BACK)
        ):
            self._write_or_retry(plan)
        return self.order

    def _take_over(self, tallies: list[MemberTally], member_count: int, plan: Plan) -> bool:
        """Wait for a majority's tallies: a rollback may have begun that the state table does not hold."""
        self.waiting_for = f"tallies from {len(tallies)} of {member_count} members; this controller is new"
        active = plan.state not in TERMINAL_STATES
        if active and 2 * len(tallies) <= member_count:
            return False
        last = max((report.tally.order for report in tallies), key=Order.version, default=NO_ORDER)
        # Only the latest order counts: a member that was suspended may report that of an earlier stage.
        if active and last.release_id == plan.id and last.rolling_back:
            share = min(plan.share, last.share)
            self.plan = replace(plan, state=ReleaseState.ROLLING_BACK, share=share)
        self._taking_over = False
        return True

    def _missing_members(self, tallies: list[MemberTally], member_count: int) -> str:
        """Return which members do not report or have not applied the order; empty if there are none."""
        if len(tallies) < member_count:
            return f"tallies from only {len(tallies)} of {member_count} members"
        behind = sorted(report.member for report in tallies if report.tally.order != self.order)
        if behind:
            self._applied_ms = 0.0
            return f"{len(behind)} members have not applied the order yet, for example {behind[0]}"
        return ""

    def _decide(self, plan: Plan, elapsed_ms: float, now: float) -> None:
        if plan.state == ReleaseState.ROLLING_BACK:
            return self._continue_rollback(plan, now)
        if self.judge.is_worse():
            return self._start_rollback(plan, self._strongest_evidence(), now)
        restarts = self._traffic.restarts
        if restarts >= MAX_RESTARTS:
            return self._start_rollback(plan, f"new servers have started once more, {restarts} times", now)
        if plan.state != ReleaseState.BAKING or self.waiting_for:
            return
        self._applied_ms += elapsed_ms
        if self._applied_ms <= ORDER_SETTLING_MS:
            return
        self._baked_ms += elapsed_ms
        self.waiting_for = self._missing_calls()
        if not self.waiting_for and self._baked_ms >= 1000.0 * plan.bake_s and self._writing is None:
            next_stage = self._next_stage(plan)
            self._write_or_retry(replace(next_stage, changed_by=CONTROLLER, reason="baked, and seen enough"))

    def _missing_calls(self) -> str:
        """Return which calls are still missing in this stage; empty if there were enough."""
        calls = self.judge.calls_by_class()
        none = ClassCalls(0, 0)
        in_stage = {
            class_id: seen.new - self._calls_before_stage.get(class_id, none).new
            for class_id, seen in calls.items()
        }
        new_calls = sum(in_stage.values())
        all_calls = sum(seen.total for seen in calls.values())
        if new_calls < MIN_STAGE_CALLS:
            requirement = f"{MIN_STAGE_CALLS} are required"
            return f"{new_calls} calls to the new build in this stage, and {requirement}"
        for class_id, count in in_stage.items():
            common = calls[class_id].total >= COMMON_CLASS_SHARE * all_calls
            if count < MIN_CLASS_CALLS and common:
                requirement = f"{MIN_CLASS_CALLS} are required"
                return f"{count} calls of one class to the new build in this stage, and {requirement}"
        return ""

    def _strongest_evidence(self) -> str:
        first = self.judge.evidence()[0]
        return f"{first.metric}: {first.new_bad} of {first.new} new, {first.old_bad} of {first.old} old calls"

    # Rollback

    def _start_rollback(self, plan: Plan, reason: str, now: float) -> None:
        """Start a rollback: it is ordered at once, and stored as soon as the state table allows."""
        state = ReleaseState.ROLLING_BACK
        self.plan = replace(plan, state=state, changed_by=CONTROLLER, reason=reason[:MAX_REASON_CHARS])
        self._continue_rollback(self.plan, now)

    def _continue_rollback(self, plan: Plan, now: float) -> None:
        """Reduce the new servers' share as far as the old servers' capacity (their peak rate) allows."""
        if now - self._last_rollback_step_ms < ROLLBACK_STEP_INTERVAL_MS:
            return
        self._last_rollback_step_ms = now
        rate = self._traffic.total_rate()
        old_capacity = self._traffic.old_server_capacity()
        new_build_failing = self._traffic.new_build_is_failing()
        share = 0.0 if new_build_failing or not rate else max(0.0, 1.0 - old_capacity / rate)
        self.capacity_short = rate > 0.0 and old_capacity < (1.0 - MIN_ROLLBACK_SHARE) * rate
        share = min(plan.share, share if share >= MIN_ROLLBACK_SHARE else 0.0)
        if share < plan.share:
            self.plan = replace(plan, share=share)
            self._update_order()
        elif (
            not share and not self.waiting_for and self._writing is None
        ):  # all members have applied a share of 0
            self._write_or_retry(replace(plan, state=ReleaseState.ROLLED_BACK))

    def status(self) -> dict[str, Any]:
        """Return the JSON object for operators; its keys are part of the admin interface."""
        plan = self.plan
        return {
            "steward": bool(self.token),
            "release": to_builtins(plan) if plan is not None else None,
            "held": self.waiting_for,
            "short": self.capacity_short,
            "baked_s": round(self._baked_ms / 1000.0, 1),
            "value": round(self.judge.e_value(), 3),
            "evidence": [
                {
                    "metric": e.metric, "class": e.class_id, "new": e.new, "new_bad": e.new_bad, "old": e.old,
                    "old_bad": e.old_bad, "value": round(e.e_value, 3),
                }
                for e in self.judge.evidence()
            ],
            "rates": {"new": round(self._traffic.rates.new, 1), "old": round(self._traffic.rates.old, 1)},
        }  # fmt: skip
