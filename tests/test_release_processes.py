"""Tests of a release with real node and server processes."""

from __future__ import annotations

from pathlib import Path

from lab.processes.day import play_processes
from lab.scenario import parse


def test_a_bad_build_is_rolled_back_among_processes(tmp_path: Path) -> None:
    """All rules hold throughout, and in the end no node sends first attempts to the new servers."""
    scenario = """
name = "bad build"
[day]
length_s = 24
[nodes]
count = 5
fleet = true
share = ["releases"]
[[tiers]]
servers = 8
[arrivals]
rate_per_s = 40
[[faults]]
kind = "release"
at_s = 5
servers = ["a2", "a5"]
stages = [20, 100]
bake_s = 30
errors = 1.0
"""
    result = play_processes(parse(scenario), 3, lambda share: None, None, tmp_path)
    assert result.broken == {}
    assert result.figures["release.end_share"] <= 0.2
    release_shares = [figures["release_share"] for figures in result.series.beliefs.values()]
    assert all(0.2 in shares for shares in release_shares)
    assert all(figures["fleet_errors"][-1] == 0.0 for figures in result.series.beliefs.values())
