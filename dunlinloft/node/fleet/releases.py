"""Hosts the release controller: connects the state table, the shared state and the admin endpoint."""

from __future__ import annotations

import time
from collections.abc import Callable
from urllib.parse import parse_qs

from dunlinloft.fleet.leases.table_primary import TablePrimary
from dunlinloft.fleet.releases.controller import MAX_TALLY_AGE_MS, ReleaseController, ReleaseRejected
from dunlinloft.fleet.releases.messages import RELEASE_KEY, TERMINAL_STATES, Order, Plan, Tally, decode_plan
from dunlinloft.fleet.releases.request import InvalidReleaseRequest, parse_release_request
from dunlinloft.fleet.releases.traffic import MemberTally
from dunlinloft.fleet.shared_state.core import SharedState
from dunlinloft.fleet.shared_state.messages import TALLY, ReleaseOrderIssued
from dunlinloft.node.admin_reply import AdminReply, JsonObject, error_reply
from dunlinloft.node.fleet.role_messaging import TableWrites
from dunlinloft.node.server_list import server_id

MAX_HISTORY = 20  # finished releases that are kept


class Releases:
    """The release controller, with the commands and the status of operators."""

    def __init__(
        self, shared: SharedState, writes: TableWrites, issue_order: Callable[[ReleaseOrderIssued], None],
        table_owner: Callable[[], str], now: Callable[[], float],
    ) -> None:  # fmt: skip
        self._shared, self._writes, self._issue_order, self._now = shared, writes, issue_order, now
        self._table_owner = table_owner
        self.controller = ReleaseController(self._write_plan, server_id, lambda: int(time.time()))
        self._history: list[Plan] = []

    def on_table_opened(self, table: TablePrimary) -> None:
        """Start the controller from the table's rows: this process holds the table, which is open."""
        rows = {key: decode_plan(row.value) for key, row in table.rows.items() if key.startswith(RELEASE_KEY)}
        past = [plan for key, plan in rows.items() if key != RELEASE_KEY and plan is not None]
        self._history = sorted(past, key=lambda plan: plan.id)
        self.controller.start(table.token, rows.get(RELEASE_KEY), self._now())

    def on_table_closed(self) -> None:
        """Stop the controller: this process no longer holds the table."""
        self.controller.stop()

    def _write_plan(self, plan: Plan) -> None:
        rejection = self._writes.write(RELEASE_KEY, plan.encode(), self.controller.write_completed)
        if rejection:
            raise ReleaseRejected(rejection)
        if plan.state in TERMINAL_STATES:
            self._writes.write(
                f"{RELEASE_KEY}/{plan.id % MAX_HISTORY}", plan.encode(), lambda committed: None
            )
            self._history = [*self._history, plan][-MAX_HISTORY:]

    def tick(self, holds: bool) -> None:
        """Run the controller if this process holds the table now; to be called at intervals."""
        if not self.controller.token or not holds:
            return
        now, store = self._now(), self._shared.store
        tallies = [
            MemberTally(writer, held.incarnation, held.age_ms(now), held.content)
            for writer, held in store.read(TALLY, MAX_TALLY_AGE_MS, now)
            if isinstance(held.content, Tally) and held.content.tier == self._shared.tier
        ]
        tallies.append(MemberTally(store.name, store.incarnation, 0.0, self._shared.follower.tally()))
        order: Order | None = self.controller.evaluate(tallies, self._shared.membership.member_count, now)
        if order is not None:
            self._issue_order(ReleaseOrderIssued(order))

    # Admin endpoint

    def start(self, query: str) -> AdminReply:
        """Start a release of servers."""
        parameters = _parameters(query)
        try:
            wanted = parse_release_request(parameters)
            self.controller.start_release(wanted, parameters.get("by", ""), parameters.get("why", ""))
        except InvalidReleaseRequest as error:
            return error_reply(400, str(error))
        except ReleaseRejected as rejection:
            return self._reject(rejection)
        return AdminReply(202, {"taken": True})

    def command(self, query: str) -> AdminReply:
        """Pause, resume, skip, halt or abort the release."""
        parameters = _parameters(query)
        try:
            self.controller.command(
                parameters.get("what", ""), parameters.get("by", ""), parameters.get("why", "")
            )
        except InvalidReleaseRequest as error:
            return error_reply(400, str(error))
        except ReleaseRejected as rejection:
            return self._reject(rejection)
        return AdminReply(202, {"taken": True})

    def _reject(self, rejection: ReleaseRejected) -> AdminReply:
        return error_reply(409, str(rejection), holder=self._table_owner())

    def status(self, class_names: dict[int, str]) -> JsonObject:
        """Return the status of releases for the admin endpoint; `class_names` are by class hash."""
        follower, found = self._shared.follower, self.controller.status()
        for row in found["evidence"]:
            row["class"] = class_names.get(row["class"], "all" if not row["class"] else str(row["class"]))
        order = follower.order
        return found | {
            "self": self._shared.name, "holder": self._table_owner(),
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


def _parameters(query: str) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(query).items()}
