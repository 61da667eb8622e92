"""The end of a data-plane process: until when it takes requests after SIGTERM, and which ones."""

from __future__ import annotations

from dataclasses import dataclass

NOTICE_MS = 2_600.0  # for the platform to send no more connections: it asks each second, twice
END_MS = 600.0  # before the end of the grace period, what still runs is given up


@dataclass(slots=True)
class Closing:
    """Whether SIGTERM came, and what follows from that. Times are of the steady clock."""

    grace_ms: float
    began_ms: float | None = None

    def begin(self, now_ms: float) -> None:
        """SIGTERM came."""
        self.began_ms = now_ms

    @property
    def begun(self) -> bool:
        """Whether connections are given back after each answer."""
        return self.began_ms is not None

    @property
    def notice_ms(self) -> float:
        """So long after SIGTERM the platform has noticed."""
        return min(NOTICE_MS, (self.grace_ms - END_MS) / 2.0)

    @property
    def ends_ms(self) -> float:
        """When what still runs is given up."""
        return float("inf") if self.began_ms is None else self.began_ms + self.grace_ms - END_MS

    def refuses(self, request_ends_ms: float, now_ms: float) -> bool:
        """Whether a request that comes now would be cut: it may take longer than is left.

        Clients that the platform still sends are served all the same; only kept connections come later.
        """
        if self.began_ms is None or now_ms < self.began_ms + self.notice_ms:
            return False
        return request_ends_ms > self.ends_ms
