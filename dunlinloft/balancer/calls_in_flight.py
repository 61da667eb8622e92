"""Which calls load a server now."""

from __future__ import annotations

from dunlinloft.balancer.call import Call
from dunlinloft.balancer.server import SentCall, Server
from dunlinloft.balancer.server_set import ServerSet

HOT_CALLS_PER_SERVER = 1.0  # calls in flight a server, beyond which a replica doubles its slices


class CallsInFlight:
    """The calls that servers work on for this replica. Owned by `Balancer`.

    Attributes
    ----------
    count
        How many there are.
    without_load
        Ids of those sent that load no server: the request still arrives, or the response already flows.
    stuck
        Ids of those at servers that stopped responding: they take no room in the window from others.
    """

    def __init__(self, server_set: ServerSet) -> None:
        self._server_set = server_set
        self.count = 0
        self.without_load: set[str] = set()
        self.stuck: set[str] = set()

    def add(self, call: Call, server: Server, now_ms: float) -> None:
        """A server has a call to work on from now; a hot caller takes more of the fleet."""
        server.in_flight += 1
        self.count += 1
        server_set = self._server_set
        hot = self.count > HOT_CALLS_PER_SERVER * len(server_set.ready)
        if hot and server_set.slices < server_set.replicas:
            server_set.use_slices(2 * server_set.slices)
        server.outstanding[call.id] = SentCall(now_ms, call.cls.latency_target_ms)

    def remove(self, call_id: str, server: Server | None) -> None:
        """A call is over, or its response flows; its server may be listed no more."""
        if call_id in self.without_load:
            return
        self.count -= 1
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            server.outstanding.pop(call_id, None)

    def record_stuck(self, servers: list[Server]) -> None:
        """Note the calls at servers that have stopped responding."""
        for server in servers:
            self.stuck.update(server.outstanding)
