"""Tracks which hosts are in contact: neither they nor the core of the control plane were disturbed recently.

The core consists of the control machines that hold state. Invariants with a time bound apply only to hosts
in contact, which have been undisturbed for the contact window. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

CONTACT_WINDOW_S = 3.0  # `contact_window_ms`


class DisturbanceTracker:
    """Records when each host was last disturbed by a fault.

    Parameters
    ----------
    now_s:
        Returns the current time.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._disturbed_s: dict[str, float] = {}
        self._core_disturbed_s = 0.0

    def disturb(self, host: str, in_core: bool) -> None:
        """Record that a fault or a change of state begins or ends at a host now."""
        self._disturbed_s[host] = self._now_s()
        if in_core:
            self._core_disturbed_s = self._now_s()

    def disturb_all(self, hosts: Iterable[str]) -> None:
        """Record a disturbance of these hosts and of the core."""
        for host in hosts:
            self.disturb(host, in_core=True)

    def last_disturbed_s(self, host: str) -> float:
        """Return when a host or the core was last disturbed."""
        return max(self._disturbed_s.get(host, 0.0), self._core_disturbed_s)

    def undisturbed(self, host: str) -> bool:
        """Return whether neither a host nor the core was disturbed within the contact window."""
        return self._now_s() - self.last_disturbed_s(host) >= CONTACT_WINDOW_S
