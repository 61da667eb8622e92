"""`lab scale`: fits, rejected plans, small real runs, planted faults, and cleanup."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
import uvloop

from dunlinloft.cli.handlers.scale import OptionError, parse_fleet_keys, parse_sizes
from lab.scale import limits, talk
from lab.scale.fit import fit
from lab.scale.judge import agreed, judge
from lab.scale.plan import Machine, Plan, Sample, member_keys
from lab.scale.run import compare_with_alone
from lab.scale.size import SizeRun
from lab.scale.virtual import simulate
from tests.test_lab_processes import alive, children
from tests.test_wire import ROOT

LIMIT_S = 90.0  # for operations that take a few seconds; generous, so that a busy machine changes no result
LARGE = Machine(cores=64, memory_mb=512_000.0, descriptors=100_000)
# The program with its own lock, so that another scale run on this machine does not interfere.
PROGRAM = """
import sys
from lab.scale import limits
limits.LOCK = ("127.15.0.1", {port})
from dunlinloft.cli import main
main(prog_name="dunlinloft")
"""


def command(*more: str) -> list[str]:
    with socket.socket() as free:
        free.bind(("127.15.0.1", 0))
        port = free.getsockname()[1]
    return [sys.executable, "-c", PROGRAM.format(port=port), "lab", "scale", *more]


def run(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test, LIMIT_S)

    uvloop.run(limited())


# Fits


def test_a_fit_is_least_squares_with_its_errors() -> None:
    """Computed by hand: x 1 to 4, y 2, 4, 5, 7; slope 1.6, residual sum of squares 0.2, x spread 5."""
    fitted = fit([1, 2, 3, 4], [2.0, 4.0, 5.0, 7.0], 10.0)
    assert fitted is not None
    assert fitted.slope == pytest.approx(1.6)
    assert fitted.intercept == pytest.approx(0.5)
    assert fitted.r2 == pytest.approx(1.0 - 0.2 / 13.0)
    assert fitted.slope_error == pytest.approx((0.1 / 5.0) ** 0.5)
    assert fitted.intercept_error == pytest.approx((0.1 * (0.25 + 6.25 / 5.0)) ** 0.5)
    assert fitted.at_target == pytest.approx(16.5)
    assert fitted.at_target_error == pytest.approx((0.1 * (0.25 + 56.25 / 5.0)) ** 0.5)


def test_a_fit_says_no_more_than_its_samples() -> None:
    assert fit([5, 5, 5], [1.0, 2.0, 3.0], 10.0) is None
    two = fit([1, 3], [1.0, 5.0], 10.0)
    assert two is not None and two.slope == pytest.approx(2.0) and two.slope_error is None
    flat = fit([1, 2, 3], [4.0, 4.0, 4.0], 10.0)
    assert flat is not None and flat.slope == 0.0 and flat.r2 is None and flat.at_target == 4.0


# Evaluation of views and deaths


def test_views_agree_if_all_are_equal_or_each_side_has_its_own() -> None:
    assert agreed([("a", 3), ("a", 3), ("a", 3)], parts=False)
    assert not agreed([("a", 3), ("a", 3), ("b", 3)], parts=False)
    assert not agreed(
        [("a", 4), ("a", 4), ("a", 4)], parts=False
    )  # the view has a member that does not exist
    islands = [("a", 2), ("a", 2), ("b", 1)]
    assert agreed(islands, parts=True) and not agreed(islands, parts=False)
    assert not agreed([("a", 2), ("b", 2), ("b", 2)], parts=True)


def test_a_death_is_false_before_its_member_has_died_and_known_after() -> None:
    deaths = [
        talk.Death("x", "gone", 9.0),
        talk.Death("y", "gone", 11.5),
        talk.Death("z", "lives", 12.0),
    ]
    false, known = judge(deaths, {"gone": 10.0})
    assert [(death.by, death.name) for death in false] == [("x", "gone"), ("z", "lives")]
    assert known == {"gone": [1.5]}


def test_what_membership_adds_to_a_node_is_measured_per_request() -> None:
    alone = Sample("alone", 0, 1, {"node_requests_s": 20.0, "node_cpu_ms_s": 10.0, "node_memory_mb": 30.0})
    beside = {"node_requests_s": 40.0, "node_cpu_ms_s": 23.0, "node_memory_mb": 34.0}
    same, other = Sample("sockets", 50, 1, dict(beside)), Sample("sockets", 50, 2, dict(beside))
    compare_with_alone([alone, same, other])
    assert same.figures["node_added_cpu_ms_s"] == pytest.approx(3.0)
    assert same.figures["node_added_memory_mb"] == pytest.approx(4.0)
    assert other.figures == beside


# Rejected plans


@pytest.mark.parametrize(
    ("plan", "machine", "reason"),
    [
        (Plan([50, 100, 200], [], [1]), LARGE, "3 sizes: a slope needs 4 different ones or more"),
        (Plan([], [9, 9, 9, 9], [1]), LARGE, "1 virtual sizes: a slope needs 4 different ones or more"),
        (Plan([], [], [1]), LARGE, "no sizes: nothing to play"),
        (Plan([5, 8, 9, 10], [], [1]), LARGE, "size 5: needs three hollow members or more beside 3 nodes"),
        (Plan([], [6, 8, 9, 10], [1]), LARGE, "virtual size 6: needs more than 4 victims and two that go on"),
        (
            Plan([50, 100, 200, 400], [], [1], per_process=1),
            LARGE,
            "size 400: needs 400 processes, and 300 are allowed: 2 members a process or more",
        ),
        (
            Plan([50, 100, 200, 400], [], [1]),
            Machine(64, 512_000.0, 256),
            "size 50: a process may need 688 descriptors, and has 256: 7 members a process at most",
        ),
        (
            Plan([50, 100, 200, 400], [], [1], per_process=10),
            Machine(64, 3000.0, 20_000),
            "size 400: needs about 1900 MB, and 1500 MB, half of the machine's, are allowed",
        ),
        (
            Plan([], [100, 200, 400, 2000], [1]),
            Machine(64, 10_000.0, 20_000),
            "virtual size 2000: needs about 12069 MB, and 5000 MB, half of the machine's, are allowed",
        ),
        (
            Plan([50, 100, 200, 400], [], [1]),
            Machine(1, 64_000.0, 20_000),
            "size 400: needs about 1.2 cores, and 0.7 of 1 are allowed",
        ),
        (
            Plan([50, 100, 200, 400], [], [1, 2, 3, 4], minutes=5.0),
            LARGE,
            "it would take about 23 minutes, and 5 are allowed: "
            "fewer sizes, seeds or seconds, or more minutes",
        ),
    ],
)  # fmt: skip
def test_a_plan_beyond_the_machine_is_rejected_with_its_reason(
    plan: Plan, machine: Machine, reason: str
) -> None:
    with pytest.raises(limits.Refused) as refused:
        limits.check(plan, machine)
    assert str(refused.value) == reason


def test_the_default_plan_is_accepted_by_a_machine_that_can_run_it() -> None:
    limits.check(Plan([50, 100, 200, 400], [125, 250, 500, 1000], [1]), Machine(8, 24_000.0, 20_000))


def test_a_second_scale_run_at_a_time_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.socket() as taken:
        taken.bind(("127.15.0.1", 0))
        taken.listen(1)
        monkeypatch.setattr(limits, "LOCK", taken.getsockname())
        with pytest.raises(limits.Refused, match="another scale run is under way"):
            limits.claim()
    with limits.claim(), pytest.raises(limits.Refused):
        limits.claim()


def test_a_rejection_prints_its_reason_and_exits_with_status_2_before_anything_starts(tmp_path: Path) -> None:
    for more in (("--sizes", "5,6,7,8"), ("--sizes", "many"), ("--fleet-key", "cell")):
        done = subprocess.run(
            command(*more), cwd=ROOT, env=os.environ | {"TMPDIR": str(tmp_path)}, capture_output=True,
            text=True, timeout=LIMIT_S,
        )  # fmt: skip
        assert done.returncode == 2, done.stderr
        assert len(done.stderr.splitlines()) == 1, done.stderr
    assert list(tmp_path.iterdir()) == []


def test_sizes_and_keys_are_parsed() -> None:
    assert parse_sizes("100, 50,50") == [50, 100]
    assert parse_sizes("none") == []
    assert parse_fleet_keys(('cell={"name": "{name}"}', "most=3")) == {"cell": {"name": "{name}"}, "most": 3}
    for bad in ("=3", "cell", "cell=x"):
        with pytest.raises(OptionError):
            parse_fleet_keys((bad,))
    template = {"a": ["{name}", {"b": "at {place}"}], "c": 3}
    assert member_keys(template, "h7", 6) == {"a": ["h7", {"b": "at 6"}], "c": 3}


def test_members_are_spread_evenly_and_seeds_are_no_victims() -> None:
    plan = Plan([], [], [1], per_process=25)
    assert plan.hosts(103) == [25, 25, 25, 25] and plan.hosts(54) == [17, 17, 17]
    assert plan.seed_places(103) == [0, 25, 50]
    assert plan.seed_places(6) == [0] and plan.chosen_victims(6) == 1
    assert plan.chosen_victims(103) == 4


# Small runs

SHORT = (
    "--sizes", "6,8,10,12", "--virtual-sizes", "10,12,14,16", "--seconds", "0.5", "--settle", "0",
    "--virtual-seconds", "2", "--virtual-settle", "5", "--victims", "1", "--per-process", "4",
)  # fmt: skip


def test_a_small_run_measures_everything_and_leaves_nothing(tmp_path: Path) -> None:
    """Whether a size is valid depends on the machine, but everything must be measured and reported."""
    file, folder = tmp_path / "out.json", tmp_path / "tmp"
    folder.mkdir()
    done = subprocess.run(
        command(*SHORT, "--json", str(file)), cwd=ROOT, env=os.environ | {"TMPDIR": str(folder)},
        capture_output=True, text=True, timeout=4 * LIMIT_S,
    )  # fmt: skip
    found = json.loads(file.read_text())
    kinds = [(sample["kind"], sample["size"]) for sample in found["samples"]]
    assert kinds == [
        ("alone", 0),
        *(("sockets", size) for size in (6, 8, 10, 12)),
        *(("virtual", size) for size in (10, 12, 14, 16)),
    ]
    complete = all(not sample["why"] for sample in found["samples"])
    well = not any(s["figures"].get("false_deaths") or s["figures"].get("unknown") for s in found["samples"])
    assert done.returncode == (0 if complete and well else 1), done.stderr
    wanted = {
        "agreed_s", "messages_s", "bytes_s", "stream_bytes_s", "cpu_ms_s", "memory_mb", "false_deaths",
        "unknown", "known_p50_s", "known_p99_s", "known_max_s", "late_ms", "node_cpu_ms_s", "node_memory_mb",
    }  # fmt: skip
    for sample in found["samples"][1:5]:
        if not sample["why"]:
            assert wanted <= set(sample["figures"]), sample
            assert sample["figures"]["messages_s"] > 0.0 and sample["figures"]["bytes_s"] > 0.0
            streams = sum(after["counts"]["stream_bytes"] for _, after in sample["raw"]["hollow"].values())
            assert streams > 0
            known = sum(map(len, sample["raw"]["known_s"].values()))
            lost = known != sample["raw"]["observers"] and not sample["figures"]["unknown"]
            assert not lost, "an observer's news of a death was lost"
    if complete:
        assert wanted <= set(found["fits"]["sockets"])
        assert found["fits"]["sockets"]["bytes_s"]["samples"] == 4
    assert found["machine"]["cores"] >= 1 and found["plan"]["sizes"] == [6, 8, 10, 12]
    assert list(folder.iterdir()) == []


@pytest.mark.parametrize(
    ("number", "when", "cells"),
    [
        (signal.SIGINT, "12 members, seed 1: joining", ()),
        (signal.SIGINT, "12 members, seed 1: settling", ("--cells", "6", "--directory", "2")),
        (signal.SIGTERM, "the nodes alone, seed 1: quiet", ()),
    ],
)
def test_a_signal_leaves_no_process_and_no_directory(
    number: int, when: str, cells: tuple[str, ...], tmp_path: Path
) -> None:
    folder, printed = tmp_path / "tmp", tmp_path / "printed"
    folder.mkdir()
    more = ("--sizes", "12,13,14,15", "--virtual-sizes", "none", "--settle", "0", "--seconds", "2")
    with printed.open("wb") as file:
        scale = subprocess.Popen(
            command(*more, *cells, "--per-process", "4"), cwd=ROOT, env=os.environ | {"TMPDIR": str(folder)},
            stdout=file, stderr=subprocess.STDOUT,
        )  # fmt: skip
    try:
        limit = time.monotonic() + LIMIT_S
        while when not in printed.read_text():
            assert time.monotonic() < limit, printed.read_text()
            time.sleep(0.02)
        started = children(scale.pid)
        scale.send_signal(number)
        scale.wait(LIMIT_S)
    finally:
        scale.kill()
        scale.wait()
    assert len(started) >= 3
    assert scale.returncode == 1, printed.read_text()
    assert not any(alive(pid) for pid in started)
    assert list(folder.iterdir()) == []


class Planted(SizeRun):
    """Stops a hollow process during the steady state until the others declare one of its members dead."""

    pauses = 0

    async def _pause(self, seconds: float) -> None:
        self.pauses += 1
        if self.pauses == 2:
            stopped, other = self.workers[-1], self.workers[0]
            stopped.child.signal("stop")
            while not self._deaths:
                await self._look_at(other)
                await asyncio.sleep(0.1)
            stopped.child.signal("cont")
        await super()._pause(seconds)


def test_false_deaths_and_late_processes_are_reported(tmp_path: Path) -> None:
    async def test() -> None:
        plan = Plan([9], [], [1], nodes=1, per_process=4, settle_s=0.0, seconds=1.0, victims=1)
        planted = Planted(plan, 9, 1, tmp_path, Machine.here())
        try:
            sample = await planted.play(lambda text: None)
        finally:
            planted.close()
            await asyncio.sleep(0.0)
        assert sample.figures["false_deaths"] > 0.0
        assert {death.name for death in sample.false_deaths} & {"h5", "h6", "h7", "h8"}
        assert any("was late by" in why for why in sample.why)

    run(test())


def test_virtual_time_is_deterministic_for_a_seed() -> None:
    what = talk.Simulate(size=12, seed=3, settle_s=3.0, seconds=3.0, victims=2)
    first = simulate(what).figures
    second = simulate(what).figures
    for figures in (first, second):
        assert figures.pop("cpu_ms_s") > 0.0
        del figures["memory_mb"]  # depends on the machine
    assert first == second
    assert first["disagree"] == first["unknown"] == first["false_deaths"] == 0.0
    assert first["messages_s"] > 4.0


def test_members_of_cells_run_with_a_directory_of_real_processes(tmp_path: Path) -> None:
    file = tmp_path / "out.json"
    more = ("--sizes", "7,8,9,10", "--virtual-sizes", "none", "--settle", "0", "--seconds", "1")
    done = subprocess.run(
        command(*more, "--victims", "1", "--cells", "8", "--directory", "2", "--json", str(file)), cwd=ROOT,
        capture_output=True, text=True, timeout=4 * LIMIT_S,
    )  # fmt: skip
    found = json.loads(file.read_text())
    assert found["plan"]["cells"] == 8, done.stderr
    for sample in found["samples"][1:]:
        if not sample["why"]:
            assert sample["figures"]["refused"] == 0.0  # members and directory accept each other's messages
            assert sample["figures"]["directory_messages_s"] > 0.0
            assert sample["figures"]["directory_memory_mb"] > 1.0
        seen = sample["raw"].get("directory", {"after": []})["after"]
        assert all(process["received"] > 0 and process["errors"] == 0 for process in seen)


def test_cells_below_the_least_size_are_rejected() -> None:
    with pytest.raises(limits.Refused, match="cells of 3: a cell takes 4 members or more"):
        limits.check(Plan([8, 9, 10, 11], [], [1], cells=3), Machine(8, 24_000.0, 1024))
