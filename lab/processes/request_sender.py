"""Sends requests to node processes over pooled connections, and keeps those without an outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lab.callers import Done, Order
from lab.processes.caller import PendingRequest, Pool, expire

if TYPE_CHECKING:
    from lab.processes.host import ProcessHost


class RequestSender:
    """The connection pools and pending requests of all callers. `ProcessHost` owns it."""

    def __init__(self, host: ProcessHost, overdue_ms: float) -> None:
        self._host = host
        self._overdue_ms = overdue_ms  # after its budget, until a request without an answer has failed
        self._pools: dict[tuple[str, str], Pool] = {}  # by origin and node
        self._pending: dict[str, PendingRequest] = {}  # by request id

    def send(self, node: str, order: Order, done: Done) -> None:
        """Send a request to a node; `done` is called with its outcome."""
        request = PendingRequest(node, order, done)
        self._pending[order.id] = request
        self._host.after(order.budget_ms + self._overdue_ms, self._expire, order.id)
        pool = self._pools.get((order.origin, node))
        if pool is None:
            pool = self._pools[order.origin, node] = Pool(self._host, order.origin, node)
        pool.send(request)

    def _expire(self, request_id: str) -> None:
        request = self._pending.pop(request_id, None)
        if request is not None:
            expire(request)

    def cancel(self, request_id: str) -> None:
        """Close the connection of a request whose caller has left."""
        request = self._pending.pop(request_id, None)
        if request is not None and not request.over:
            request.over = True
            if request.connection is not None:
                request.connection.close()

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
