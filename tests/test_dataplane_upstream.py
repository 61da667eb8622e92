"""Connections to servers: the idle timeout."""

from __future__ import annotations

import pytest

from dunlinloft.dataplane.upstream import advertised_idle_timeout_s


@pytest.mark.parametrize(
    ("keep_alive", "timeout_s"),
    [("timeout=10, max=100", 10.0), ("max=100,Timeout = 7", 7.0), ("", None), ("timeout=soon", None)],
)
def test_idle_timeout_is_read_from_the_keep_alive_header(keep_alive: str, timeout_s: float | None) -> None:
    assert advertised_idle_timeout_s(keep_alive) == timeout_s
