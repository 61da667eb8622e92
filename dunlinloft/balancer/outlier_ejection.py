"""Outlier ejection: servers that fail more often than their peers get no calls for some time.

Also the concurrency limit of servers that reject attempts, and the verdicts that replicas share.
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

EJECTION_BASE_MS = 1_000.0  # duration of the first ejection; doubled for each consecutive one
EJECTION_DOUBLINGS = 5  # maximum number of these doublings
EJECTED_SHARE_MAX = 0.5  # maximum share of the servers that may be ejected for errors at once
EJECTION_LOG_ODDS = math.log(30.0)  # log odds of being an outlier at which a server is ejected
OUTLIER_ERROR_SHARE = 0.5  # error share that is assumed of an outlier
PEER_ERROR_SHARE_MIN = 0.01  # minimum of the error share that is assumed of other servers
REJECTION_LIMIT_FACTOR = 0.9  # lowers a server's concurrency limit when it rejects an attempt
TRUSTED_OWN_SUCCESSES = 1.0  # own successes since a verdict that override it
READMISSION_SPREAD_MS = 2_000.0  # servers whose verdict was lifted are used again within this time, at random


class OutlierEjection:
    """Ejects servers by comparing their results with their peers', and by verdicts of other replicas.

    Owned by `Balancer`.
    """

    def __init__(self, server_set: ServerSet, rng: random.Random) -> None:
        self._server_set = server_set
        self._rng = rng
        self._error_share = 0.0  # moving average over all servers

    def record_result(self, server: Server, result: Result, now_ms: float) -> None:
        """Update a server's health by a result."""
        if result in (Result.REJECTED, Result.UNREACHABLE):
            limit = min(server.concurrency_limit, float(server.in_flight))
            server.concurrency_limit = max(1.0, limit * REJECTION_LIMIT_FACTOR)
            if result is Result.UNREACHABLE and not server.in_flight:  # down, or it accepts no connections
                self._eject(server, now_ms)
        elif result is Result.SERVED:
            server.concurrency_limit += 1.0 / server.concurrency_limit
        if result in (Result.SERVED, Result.ERROR, Result.RESET):
            self._test_error_rate(server, result is not Result.SERVED, now_ms)

    def _test_error_rate(self, server: Server, failed: bool, now_ms: float) -> None:
        """Run a sequential probability ratio test: does the server fail as an outlier or like its peers?

        Fast errors look like low delay, so that the delay controller can't detect them.
        """
        server.successes_since_verdict = 0.0 if failed else server.successes_since_verdict + 1.0
        peer_error_share = max(PEER_ERROR_SHARE_MIN, min(self._error_share, OUTLIER_ERROR_SHARE))
        self._error_share += (failed - self._error_share) / PEER_SAMPLES
        if failed:
            step = math.log(OUTLIER_ERROR_SHARE / peer_error_share)
        else:
            step = math.log((1.0 - OUTLIER_ERROR_SHARE) / (1.0 - peer_error_share))
        server.error_log_odds = max(0.0, server.error_log_odds + step)
        if server.error_log_odds >= EJECTION_LOG_ODDS:
            ready = self._server_set.ready
            if sum(now_ms < other.ejected_until_ms for other in ready) < EJECTED_SHARE_MAX * len(ready):
                self._eject(server, now_ms)
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0  # ejected again after fewer errors
        elif not server.error_log_odds:
            server.consecutive_ejections = 0

    def _eject(self, server: Server, now_ms: float) -> None:
        """Eject a server for a time that doubles with each consecutive ejection, with jitter."""
        if now_ms >= server.ejected_until_ms:
            base_ms = EJECTION_BASE_MS * 2.0 ** min(server.consecutive_ejections, EJECTION_DOUBLINGS)
            server.ejected_until_ms = now_ms + base_ms * (0.5 + self._rng.random())
            server.consecutive_ejections += 1

    def apply_verdicts(self, verdicts: list[api.PeerVerdict], now_ms: float) -> None:
        """Replace all verdicts; with the servers ejected here they exclude at most `EJECTED_SHARE_MAX`."""
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
        """Replace a server's verdict; once it is lifted, replicas readmit the server at random times."""
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
    """Return whether a verdict excludes a server for a class and isn't overridden by own successes."""
    verdict = server.verdict
    if verdict is None or not verdict.avoid or verdict.trial:
        return False
    if server.successes_since_verdict >= TRUSTED_OWN_SUCCESSES:
        return False
    return not verdict.classes or cls in verdict.classes
