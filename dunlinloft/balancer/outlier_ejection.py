"""Outlier ejection: servers that fail more often than their peers get no calls for a while.

Here too: the limit of calls at a server that rejects attempts, and the verdicts that replicas share.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.latency_baseline import PEER_SAMPLES
from dunlinloft.balancer.server import Server
from dunlinloft.balancer.server_set import ServerSet

EJECTION_BASE_MS = 1_000.0  # the first ejection of a server that fails; doubled for each in a row,
EJECTION_DOUBLINGS = 5  # at most so often
EJECTED_SHARE_MAX = 0.5  # of the servers may be ejected at once for errors
EJECTION_LOG_ODDS = math.log(30.0)  # from which a server is ejected for its errors
OUTLIER_ERROR_SHARE = 0.5  # the share of errors that is suspected
PEER_ERROR_SHARE_MIN = 0.01  # what peers are taken for at least
REJECTION_LIMIT_FACTOR = 0.9  # on the calls that a server may hold from here, once it has rejected an attempt
TRUSTED_OWN_SUCCESSES = 1.0  # since the verdict, from which a replica trusts these and not its peers
READMISSION_SPREAD_MS = 2_000.0  # within which a server comes back that peers no longer warn of


class OutlierEjection:
    """Judges servers by their results against their peers', and by what other replicas say.

    Owned by `Balancer`.
    """

    def __init__(self, server_set: ServerSet, rng: random.Random) -> None:
        self._server_set = server_set
        self._rng = rng
        self._error_share = 0.0  # recent, over all servers

    def record_result(self, server: Server, result: Result, now_ms: float) -> None:
        """Take what a result says about the server's health."""
        if result in (Result.REJECTED, Result.UNREACHABLE):
            limit = min(server.concurrency_limit, float(server.in_flight))
            server.concurrency_limit = max(1.0, limit * REJECTION_LIMIT_FACTOR)
            if result is Result.UNREACHABLE and not server.in_flight:  # down, or out of connections
                self._eject(server, now_ms)
        elif result is Result.SERVED:
            server.concurrency_limit += 1.0 / server.concurrency_limit
        if result in (Result.SERVED, Result.ERROR, Result.RESET):
            self._weigh_errors(server, result is not Result.SERVED, now_ms)

    def _weigh_errors(self, server: Server, failed: bool, now_ms: float) -> None:
        """Sequential test of failing half its calls against failing as often as its peers.

        Fast errors look like low delay, so the delay controller can't see them.
        """
        server.successes_since_verdict = 0.0 if failed else server.successes_since_verdict + 1.0
        peers = max(PEER_ERROR_SHARE_MIN, min(self._error_share, OUTLIER_ERROR_SHARE))
        self._error_share += (failed - self._error_share) / PEER_SAMPLES
        if failed:
            step = math.log(OUTLIER_ERROR_SHARE / peers)
        else:
            step = math.log((1.0 - OUTLIER_ERROR_SHARE) / (1.0 - peers))
        server.error_log_odds = max(0.0, server.error_log_odds + step)
        if server.error_log_odds >= EJECTION_LOG_ODDS:
            ready = self._server_set.ready
            if sum(now_ms < other.ejected_until_ms for other in ready) < EJECTED_SHARE_MAX * len(ready):
                self._eject(server, now_ms)
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0  # on its return it is on probation
        elif not server.error_log_odds:
            server.consecutive_ejections = 0

    def _eject(self, server: Server, now_ms: float) -> None:
        """Send it nothing for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now_ms >= server.ejected_until_ms:
            base_ms = EJECTION_BASE_MS * 2.0 ** min(server.consecutive_ejections, EJECTION_DOUBLINGS)
            server.ejected_until_ms = now_ms + base_ms * (0.5 + self._rng.random())
            server.consecutive_ejections += 1

    def apply_verdicts(self, verdicts: list[api.PeerVerdict], now_ms: float) -> None:
        """Take what replicas say of servers; with those ejected here they exclude half of them at most."""
        accepted = {verdict.server: verdict for verdict in verdicts}
        ready = self._server_set.ready
        excluded = {server.id for server in ready if now_ms < server.ejected_until_ms}
        limit = int(EJECTED_SHARE_MAX * len(ready))
        for verdict in verdicts:
            if verdict.avoid and len(excluded | {verdict.server}) > max(limit, len(excluded)):
                accepted[verdict.server] = replace(verdict, avoid=False)
            elif verdict.avoid:
                excluded.add(verdict.server)
        for server in self._server_set.servers.values():
            self._set_verdict(server, accepted.get(server.id), now_ms)

    def _set_verdict(self, server: Server, verdict: api.PeerVerdict | None, now_ms: float) -> None:
        """Replace a server's verdict. One no longer warned of comes back to each replica at its own time."""
        was_avoided = server.verdict is not None and server.verdict.avoid
        is_avoided = verdict is not None and verdict.avoid
        if is_avoided and not was_avoided:
            server.successes_since_verdict = 0.0
        if verdict is not None and (server.verdict is None or server.verdict.latency_ratio == 1.0):
            server.fast_since_verdict = 0.0
        if was_avoided and not is_avoided and server.successes_since_verdict < TRUSTED_OWN_SUCCESSES:
            return_ms = now_ms + READMISSION_SPREAD_MS * self._rng.random()
            server.ejected_until_ms = max(server.ejected_until_ms, return_ms)
        server.verdict = verdict


def avoided_by_verdict(server: Server, cls: str) -> bool:
    """Whether peers warn of a server for a class, and no answers of this replica's own say otherwise."""
    verdict = server.verdict
    if verdict is None or not verdict.avoid or verdict.trial:
        return False
    if server.successes_since_verdict >= TRUSTED_OWN_SUCCESSES:
        return False
    return not verdict.classes or cls in verdict.classes
