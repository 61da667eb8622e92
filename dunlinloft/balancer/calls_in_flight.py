"""The calls that servers are processing now."""

from __future__ import annotations

from dunlinloft.balancer.call import Call
from dunlinloft.balancer.server import SentCall, Server
from dunlinloft.balancer.server_set import ServerSet

HOT_CALLS_PER_SERVER = 1.0  # calls in flight per server above which a replica doubles its slices of the fleet


class CallsInFlight:
    """The calls that servers are processing for this replica. Owned by `Balancer`.

    Attributes
    ----------
    count
        Number of these calls.
    uncounted
        Ids of sent calls that are not counted as load: the request is still arriving, or the response is
        streaming.
    stuck
        Ids of the calls at unresponsive servers, which don't count against the window.
    """

    def __init__(self, server_set: ServerSet) -> None:
        self._server_set = server_set
        self.count = 0
        self.uncounted: set[str] = set()
        self.stuck: set[str] = set()

    def add(self, call: Call, server: Server, now_ms: float) -> None:
        """Count a call at a server, and enlarge the server subset if the replica has many calls in flight."""
        server.in_flight += 1
        self.count += 1
        server_set = self._server_set
        hot = self.count > HOT_CALLS_PER_SERVER * len(server_set.ready)
        if hot and server_set.slices < server_set.replicas:
            server_set.use_slices(2 * server_set.slices)
        server.outstanding[call.id] = SentCall(now_ms, call.cls.latency_target_ms)

    def remove(self, call_id: str, server: Server | None) -> None:
        """Stop counting a call whose attempt has ended or streams; `server` is None if no longer listed."""
        if call_id in self.uncounted:
            return
        self.count -= 1
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            server.outstanding.pop(call_id, None)

    def record_stuck(self, servers: list[Server]) -> None:
        """Record the calls at unresponsive servers as stuck."""
        for server in servers:
            self.stuck.update(server.outstanding)
