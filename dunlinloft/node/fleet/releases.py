"""Hosts the steward of releases: joins the ledger, shared state and the operators' admin endpoint."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from dunlinloft.fleet.leases.table_primary import TablePrimary
from dunlinloft.fleet.releases.controller import MAX_TALLY_AGE_MS, ReleaseController, ReleaseRejected
from dunlinloft.fleet.releases.messages import RELEASE_KEY, TERMINAL_STATES, Order, Plan, Tally, decode_plan
from dunlinloft.fleet.releases.request import InvalidReleaseRequest, parse_release_request
from dunlinloft.fleet.releases.traffic import MemberTally
from dunlinloft.fleet.shared_state.core import SharedState
from dunlinloft.fleet.shared_state.messages import TALLY, ReleaseOrderIssued
from dunlinloft.node.config import server_id
from dunlinloft.node.fleet.duties import Entries

KEPT = 20  # releases that ended and are remembered


class Releases:
    """The steward, and what operators say to it and see of it."""

    def __init__(
        self, shared: SharedState, entries: Entries, give: Callable[[ReleaseOrderIssued], None],
        holder: Callable[[], str], now: Callable[[], float],
    ) -> None:  # fmt: skip
        self._shared, self._entries, self._give, self._now = shared, entries, give, now
        self._holder = holder
        self.steward = ReleaseController(self._write, server_id, lambda: int(time.time()))
        self._history: list[Plan] = []

    def opened(self, ledger: TablePrimary) -> None:
        """This process holds the ledger, and it is open."""
        rows = {
            key: decode_plan(row.value) for key, row in ledger.rows.items() if key.startswith(RELEASE_KEY)
        }
        past = [plan for key, plan in rows.items() if key != RELEASE_KEY and plan is not None]
        self._history = sorted(past, key=lambda plan: plan.id)
        self.steward.start(ledger.token, rows.get(RELEASE_KEY), self._now())

    def closed(self) -> None:
        """It holds the ledger no more."""
        self.steward.stop()

    def _write(self, plan: Plan) -> None:
        why = self._entries.keep(RELEASE_KEY, plan.encode(), self.steward.write_completed)
        if why:
            raise ReleaseRejected(why)
        if plan.state in TERMINAL_STATES:
            self._entries.keep(f"{RELEASE_KEY}/{plan.id % KEPT}", plan.encode(), lambda kept: None)
            self._history = [*self._history, plan][-KEPT:]

    def look(self, holds: bool) -> None:
        """To be called every so often; `holds`: this process holds the ledger at this instant."""
        if not self.steward.token or not holds:
            return
        now, store = self._now(), self._shared.store
        told = [
            MemberTally(writer, held.incarnation, held.age_ms(now), held.content)
            for writer, held in store.read(TALLY, MAX_TALLY_AGE_MS, now)
            if isinstance(held.content, Tally) and held.content.tier == self._shared.tier
        ]
        told.append(MemberTally(store.name, store.incarnation, 0.0, self._shared.follower.tally()))
        order: Order | None = self.steward.look(told, self._shared.membership.member_count, now)
        if order is not None:
            self._give(ReleaseOrderIssued(order))

    # At the admin endpoint

    def start(self, query: str) -> tuple[int, dict[str, Any]]:
        """Begin a release of servers."""
        asked = _asked(query)
        try:
            wanted = parse_release_request(asked)
            self.steward.start_release(wanted, asked.get("by", ""), asked.get("why", ""))
        except InvalidReleaseRequest as problem:
            return 400, {"error": str(problem)}
        except ReleaseRejected as rejection:
            return self._reject(rejection)
        return 202, {"taken": True}

    def say(self, query: str) -> tuple[int, dict[str, Any]]:
        """Pause, resume, skip, halt or abort it."""
        asked = _asked(query)
        try:
            self.steward.command(asked.get("what", ""), asked.get("by", ""), asked.get("why", ""))
        except InvalidReleaseRequest as problem:
            return 400, {"error": str(problem)}
        except ReleaseRejected as rejection:
            return self._reject(rejection)
        return 202, {"taken": True}

    def _reject(self, rejection: ReleaseRejected) -> tuple[int, dict[str, Any]]:
        return 409, {"error": str(rejection), "holder": self._holder()}

    def show(self, mark_names: dict[int, str]) -> dict[str, Any]:
        """All that the admin endpoint tells of releases; `mark_names` are the classes by their marks."""
        follower, found = self._shared.follower, self.steward.status()
        for row in found["evidence"]:
            row["class"] = mark_names.get(row["class"], "all" if not row["class"] else str(row["class"]))
        order = follower.order
        return found | {
            "self": self._shared.name, "holder": self._holder(),
            "order": {
                "token": order.token, "step": order.step, "release": order.release_id, "share": order.share,
            },
            "new_servers": len(follower.new_servers()), "servers": len(follower.servers),
            "stale": follower.is_stale(self._now()),
            "history": [
                {"id": p.id, "state": p.state, "stage": p.stage, "by": p.changed_by, "why": p.reason,
                 "at_s": p.changed_at_s}
                for p in self._history
            ],
        }  # fmt: skip


def _asked(query: str) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(query).items()}
