"""Scenario files, the plans drawn from them, and the statistics of simulated links."""

from __future__ import annotations

import heapq
import json
import statistics
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner

from dunlinloft.cli import main
from dunlinloft.cli.handlers.config_check import check_file
from lab.lines import DirectedLink, LinkFault, Links
from lab.names import Names
from lab.plan import Plan
from lab.registry import ACTIVE, Registry
from lab.runner import SeedListError, read_seeds
from lab.scenario import SHIPPED_SCENARIOS, Discovery, ScenarioError, Tier, load, parse, schema
from lab.servers import Job, Server
from tests.peers import settings


@pytest.mark.parametrize(
    ("text", "where", "what"),
    [
        ('name = "x"\n[nodes]\ncuont = 3', "nodes.cuont", "did you mean 'count'?"),
        (
            'name = "x"\n[[faults]]\nkind = "kill"\nat_s = 1\nnodes = ["n1"]\nbakc_s = 1',
            "faults[0].bakc_s",
            "'back_s'",
        ),
        ('name = "x"\n[nodes]\ncount = 0', "nodes.count", ">= 1"),
        ('name = "x"\n[day]\nlength_s = "long"', "day.length_s", "Expected `float`, got `str`"),
        ("[day\nlength_s = 3", "not TOML", "line 1"),
        ("[day]\nlength_s = 3", "", "missing required field `name`"),
        ('name = "x"\n[[faults]]\nkind = "kill"\nat_s = 1\nnodes = ["n9"]', "faults[0].nodes", "n1 to n3"),
        ('name = "x"\n[[faults]]\nkind = "quake"\nat_s = 1', "faults[0].kind", "Invalid value 'quake'"),
        ('name = "x"\n[[tiers]]\ncalls = 1', "tiers[0].calls", "no tier behind"),
        ('name = "x"\n[[faults]]\nkind = "kill"\nat_s = 99\nnodes = ["*"]', "faults[0].at_s", "ends at 20 s"),
    ],
)
def test_an_invalid_file_is_rejected_with_its_place_and_what_was_expected(
    text: str, where: str, what: str, tmp_path: Path
) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "day.toml")
    message = str(caught.value)
    assert message.startswith("day.toml: ")
    assert where in message
    assert what in message
    assert "\n" not in message
    file = tmp_path / "day.toml"
    file.write_text(text)
    assert CliRunner().invoke(main, ["lab", "run", str(file)]).exit_code == 2


def test_all_shipped_scenarios_are_valid_and_the_schema_has_their_keys() -> None:
    shipped = sorted(SHIPPED_SCENARIOS.glob("*.toml"))
    assert len(shipped) >= 10
    definitions = schema()["$defs"]
    for path in shipped:
        scenario = load(path.stem)
        assert scenario.name == path.stem
        assert scenario.about
        raw = tomllib.loads(path.read_text())
        assert set(raw) <= set(definitions["Scenario"]["properties"])
        for fault in raw.get("faults", []):
            names = [
                d
                for d in definitions.values()
                if d["properties"].get("kind", {}).get("enum") == [fault["kind"]]
            ]
            assert set(fault) <= set(names[0]["properties"])


def test_the_plan_has_the_rate_mix_and_skew_of_the_scenario() -> None:
    text = 'name = "x"\n[day]\nlength_s = 200\n[nodes]\ncount = 8\n[arrivals]\nrate_per_s = 300\nskew = 3\n'
    plan = Plan(parse(text), 5)
    count = len(plan.arrivals)
    assert count == pytest.approx(60_000, rel=0.02)  # 5 standard deviations
    by_node = [sum(a.node == node for a in plan.arrivals) for node in plan.names.nodes]
    assert max(by_node) / (count / 8) == pytest.approx(3.0, rel=0.05)
    gaps = np.diff([a.at_ms for a in plan.arrivals])
    assert statistics.pstdev(gaps) / statistics.fmean(gaps) == pytest.approx(1.0, rel=0.03)  # Poisson
    for n, share in enumerate(plan.mix):
        mine = [a.work_ms for a in plan.arrivals if a.cls == n]
        assert len(mine) / count == pytest.approx(share, abs=0.01)
        assert statistics.fmean(mine) == pytest.approx(plan.work_ms[n], rel=0.05)


class Clock:
    """A clock advanced by the test; callbacks run in order of their due time."""

    def __init__(self) -> None:
        self.at, self.due = 0.0, list[tuple[float, int, Callable[..., None], tuple[Any, ...]]]()

    def now(self) -> float:
        return self.at

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        self.due.append((self.at + delay_ms, len(self.due), do, args))

    def run(self) -> None:
        while self.due:
            self.due.sort(key=lambda item: item[:2])
            self.at, _, do, args = self.due.pop(0)
            do(*args)


PAIR = frozenset({("n1", "a2")})


def faulty_link(seed: str = "s", **faults: Any) -> DirectedLink:
    line = DirectedLink(5.0, 0.0, Clock(), seed)
    line.apply_faults([LinkFault(PAIR, **faults)])
    return line


def test_link_faults_have_the_configured_statistics_and_depend_on_the_seed() -> None:
    def datagrams(**faults: Any) -> list[list[float]]:
        line = faulty_link(**faults)
        return [line.datagram(100) for _ in range(20_000)]

    lost = sum(not times for times in datagrams(loss=0.3)) / 20_000
    assert lost == pytest.approx(0.3, abs=0.015)
    doubled = sum(len(times) == 2 for times in datagrams(duplicate=0.1)) / 20_000
    assert doubled == pytest.approx(0.1, abs=0.01)
    jittered = [times[0] for times in datagrams(delay_ms=20.0, jitter_ms=8.0)]
    assert min(jittered) >= 25.0
    assert max(jittered) <= 33.0
    assert statistics.fmean(jittered) == pytest.approx(29.0, abs=0.2)
    overtaken = sum(times[0] > 5.0 for times in datagrams(reorder=0.2)) / 20_000
    assert overtaken == pytest.approx(0.2, abs=0.015)
    assert not any(datagrams(cut=True)) and not any(datagrams(refuse=True))
    paced = faulty_link(rate_kbps=80.0)
    assert paced.datagram(1000)[0] == pytest.approx(105.0)
    assert paced.datagram(1000)[0] == pytest.approx(205.0)  # queued behind the first
    repeats = [faulty_link(f"{n}", loss=0.5).stream_ms(100) for n in range(2000)]
    assert {round(took) for took in repeats} >= {
        5,
        205,
        605,
        1405,
    }  # a stream loses nothing: losses appear as delays
    assert faulty_link("a", loss=0.3).datagram(9) == faulty_link("a", loss=0.3).datagram(9)
    first, second = ([faulty_link("a", loss=0.3)] for _ in range(2))
    assert [first[0].datagram(9) for _ in range(99)] == [second[0].datagram(9) for _ in range(99)]


def test_a_cut_holds_a_stream_back_in_one_direction_until_it_ends() -> None:
    clock, got = Clock(), list[str]()
    names = Names(parse('name = "x"'))
    lines = Links(names, 0.2, 10.0, 0.0, clock, 1)
    ill = LinkFault(PAIR, cut=True)
    lines.add_fault(ill)
    lines.between("n1", "a2").carry(10, got.append, "there")
    lines.between("a2", "n1").carry(10, got.append, "back")
    lines.between("a1/node", "a2").carry(10, got.append, "other")
    clock.run()
    assert sorted(got) == ["back", "other"]
    lines.remove_fault(ill)
    clock.run()
    assert got[-1] == "there"
    assert clock.at < 1000.0


def test_seed_lists_are_parsed_or_rejected() -> None:
    assert read_seeds("1-3,7,2") == [1, 2, 3, 7]
    for text in ("", "x", "3-1", "1-", "-2"):
        with pytest.raises(SeedListError):
            read_seeds(text)


def test_check_names_every_fault_of_a_configuration_with_its_path(tmp_path: Path) -> None:
    good = {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ab",
        "known": {"index": 1, "snapshot": True, "endpoints": []}, "settings": settings(),
    }  # fmt: skip
    file = tmp_path / "config.json"
    file.write_text(json.dumps(good))
    assert check_file(file) == []
    bad = json.loads(json.dumps(good))
    bad |= {"listen": "nowhere", "manegement": "127.0.0.1:2"}
    del bad["seed"]
    bad["settings"]["classes"][1]["objective_ms"] = -1
    bad["settings"]["permissions"]["max_attempts"] = "many"
    bad["settings"]["rules"]["start_capacity"] = 7.0
    file.write_text(json.dumps(bad))
    places = {problem.path for problem in check_file(file)}
    assert places == {
        "listen", "seed", "manegement", "settings.classes[1].objective_ms",
        "settings.permissions.max_attempts", "settings.rules.start_capacity",
    }  # fmt: skip
    assert CliRunner().invoke(main, ["check", str(file)]).exit_code == 1
    file.write_text('{"name": ')
    assert "line 1" in check_file(file)[0].text


class Still:
    """A clock that never advances."""

    def now(self) -> float:
        return 0.0

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Ignore the callback."""


def test_an_attempt_from_before_a_server_restart_can_be_cancelled_after_it() -> None:
    # Seed 293 of `staged`: an attempt was cancelled just after its server had restarted.
    ended: list[str] = []
    server = Server("a1", "linz", 0, Tier(), 1.0, Still(), 1, 10.0, (2.5, 3000.0), lambda fallen: None)
    jobs = [Job(f"j{n}", "n1", "slot-view", 10.0, 0, lambda job, how: ended.append(how)) for n in range(2)]
    server.submit(jobs[0])
    server.die()
    server.start()
    server.submit(jobs[1])
    server.cancel(jobs[0])
    assert server.holds == 1 and ended == []
    server.cancel(jobs[1])
    assert server.holds == 0 and ended == ["dropped"]


class Steps(Still):
    """A clock that advances from one callback to the next."""

    def __init__(self) -> None:
        self.at, self.heap = 0.0, list[tuple[float, int, Callable[..., None], tuple[Any, ...]]]()

    def now(self) -> float:
        return self.at

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.heap, (self.at + delay_ms, len(self.heap), do, args))


@pytest.mark.parametrize("seed", ["a", "b", "c"])
def test_a_watch_that_continues_from_its_index_misses_no_change(seed: str) -> None:
    # With six servers started half a second apart, the second update was overtaken and never delivered.
    clock = Steps()
    registry = Registry([f"a{n}" for n in range(8)], ["n1"], Discovery(notice_s=[0.3, 2.2]), clock, seed)
    agent, index, known = registry.agents["n1"], 1, dict[str, float]()
    for n in range(8):
        clock.after(500.0 * n, registry.change, f"a{n}", ACTIVE, 1.0 + n)
    while clock.heap:
        clock.at, _, do, args = heapq.heappop(clock.heap)
        do(*args)
        known |= {entry.name: entry.since_ms for entry in agent.after(index) or []}
        index = agent.index
    assert known == {f"a{n}": 1.0 + n for n in range(8)}
