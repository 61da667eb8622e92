"""Checks the operating rules of a balancer on its events and actions.

It is independent of the balancer's code and keeps its own records. The rules:

1. Each request gets exactly one final answer by its deadline, and no attempt after that.
2. A request that may have been executed is sent again only if its class allows that, within its deduplication
   group and window. It is rejected only if a retry by the client is safe.
3. Nothing is sent to a server that has been out of service for longer than the grace period.
4. A server in slow start gets no more attempts than its budget. This is tested in `test_balancer_properties`,
   for one balancer alone: what it sends to such a server in any window.
5. Retries stay within the configured budget.
6. Whether a rejection proves that an attempt was not executed depends on the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import DedupScope, Health, Idempotency, ListUpdateKind, Result


class RuleViolation(AssertionError):
    """A rule was violated."""


@dataclass
class Attempt:
    sent_ms: float
    server: int
    group: str | int | None
    result: Result | None = None


@dataclass
class AcceptedRequest:
    cls: api.RequestClass
    deadline_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False


class Checker:
    """Takes each event before the balancer does, and each action after it; raises `RuleViolation`."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.accepted: dict[str, AcceptedRequest] = {}
        self.accepted_ms: list[float] = []
        self.retries_ms: list[float] = []
        self.listed: dict[int, api.ServerEntry] = {}
        self.out_of_service: dict[int, float] = {}  # time since which the node knows that it is

    def record_event(self, event: api.Event, now: float) -> None:
        if isinstance(event, api.Request):
            self.accepted[event.id] = AcceptedRequest(self.classes[event.cls], now + event.ttl_ms)
            self.accepted_ms.append(now)
        elif isinstance(event, api.AttemptCompleted) and event.id in self.accepted:
            request = self.accepted[event.id]
            request.attempts[event.attempt].result = event.result
            request.answered = request.answered or event.final
        elif isinstance(event, api.ClientDisconnected) and event.id in self.accepted:
            self.accepted[event.id].answered = True
        elif isinstance(event, api.ServerListUpdate) and event.kind is not ListUpdateKind.FAILED:
            updated = {entry.server: entry for entry in event.entries}
            for server in self.listed:
                if event.kind is not ListUpdateKind.DELTA and server not in updated:
                    self.out_of_service.setdefault(server, now)
            for server, entry in updated.items():
                self.listed[server] = entry
                if entry.health is Health.IN_SERVICE:
                    self.out_of_service.pop(server, None)
                else:
                    self.out_of_service.setdefault(server, now)

    def check_action(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.Send):
            self._check_send(action, now)
        elif isinstance(action, api.Fail | api.Reject):
            request = self.accepted[action.id]
            self._require(not request.answered, "rule 1: a second final answer")
            late = now > request.deadline_ms + self.settings.answer_slack_ms
            self._require(not late, "rule 1: an answer after the deadline")
            request.answered = True
            if isinstance(action, api.Reject):
                cls = request.cls
                dedup_everywhere = cls.idempotency is Idempotency.KEYED and cls.dedup_scope is DedupScope.ALL
                retry_is_safe = (
                    cls.idempotency is Idempotency.IDEMPOTENT
                    or dedup_everywhere
                    or not self._may_have_executed(request)
                )
                self._require(retry_is_safe, "rule 2: rejected although it may have been executed")

    def check_all_answered(self) -> None:
        """Check that every accepted request has been answered."""
        self._require(
            all(request.answered for request in self.accepted.values()), "rule 1: a request was lost"
        )

    def _check_send(self, send: api.Send, now: float) -> None:
        request, server = self.accepted[send.id], self.listed[send.server]
        cls = request.cls
        self._require(not request.answered, "rule 1: an attempt after the final answer")
        self._require(len(request.attempts) < self.settings.max_attempts, "more attempts than allowed")
        in_flight = [attempt for attempt in request.attempts if attempt.result is None]
        self._require(not in_flight or self.settings.parallel_attempts, "two attempts at once")
        group = {DedupScope.ALL: None, DedupScope.ZONE: server.zone, DedupScope.CELL: server.cell}[
            cls.dedup_scope
        ]
        executed = self._may_have_executed(request)
        if executed:
            self._require(
                cls.idempotency is not Idempotency.NON_IDEMPOTENT,
                "rule 2: a non-idempotent request sent again",
            )
        if executed and cls.idempotency is Idempotency.KEYED:
            self._require(
                all(attempt.group == group for attempt in executed), "rule 2: another deduplication group"
            )
            self._require(
                now - executed[0].sent_ms <= cls.dedup_window_ms, "rule 2: after the deduplication window"
            )
        since = self.out_of_service.get(send.server, now)
        self._require(
            now - since <= self.settings.drain_grace_ms, "rule 3: sent to a server that is out of service"
        )
        if request.attempts and self.settings.retry_budget_ratio is not None:
            window_ms = self.settings.retry_budget_window_ms
            self.retries_ms.append(now)
            retries = sum(at >= now - window_ms for at in self.retries_ms)
            accepted = sum(at > now - window_ms for at in self.accepted_ms)
            allowed = self.settings.retry_budget_floor + self.settings.retry_budget_ratio * accepted
            self._require(retries <= allowed, "rule 5: over the retry budget")
        request.attempts.append(Attempt(now, send.server, group))

    def _may_have_executed(self, request: AcceptedRequest) -> list[Attempt]:
        not_executed = {Result.UNREACHABLE, Result.NOT_SENT}
        if not self.settings.rejected_may_have_run:
            not_executed.add(Result.REJECTED)  # rule 6
        return [attempt for attempt in request.attempts if attempt.result not in not_executed]

    @staticmethod
    def _require(condition: bool, message: str) -> None:
        if not condition:
            raise RuleViolation(message)
