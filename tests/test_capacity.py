"""Capacity measurement: the fit, each experiment at a tiny size, the report, and a planted cost increase."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from dunlinloft.cli import main
from dunlinloft.cli.handlers.capacity import EXPERIMENTS
from dunlinloft.fleet.wire import MAX_STATE_BYTES, Wire
from lab.capacity import added, chain, membership, model, shared, sizes
from lab.capacity.model import Experiment, Figure, Plan, Sample, fit, read_report, run
from lab.fit import line

TINY = {
    "view": (20, 40), "join": (20, 40), "gossip": (4, 6), "churn": (12, 14), "pulse": (3, 4), "reach": (3, 4),
    "day": (3, 4), "store": (10, 20), "list": (10, 20), "ledger": (10, 30), "leases": (1, 2),
    "zone": (15, 20), "region": (10, 15), "restart": (5, 8), "third": (1, 2), "tallies": (3, 4),
    "steward": (3, 6), "chain": (1, 2), "command": (10, 20),
}  # fmt: skip
ON_SOCKETS = {"added"}  # uses real processes in real time: has its own test below
MAY_BE_NOTHING = {
    "streams",
    "fails100-served",
}  # no streams between equal views; no request served if every call fails


def test_the_fit_equals_that_of_numpy() -> None:
    draws = random.Random(5)
    x = [50.0, 100.0, 100.0, 200.0, 400.0, 800.0]
    y = [30.0 + 4.9 * at + draws.gauss(0.0, 20.0) for at in x]
    found = line(x, y)
    (slope, intercept), covariance = np.polyfit(x, y, 1, cov=True)
    assert (found.slope, found.intercept) == pytest.approx((slope, intercept))
    assert found.slope_error == pytest.approx(math.sqrt(covariance[0, 0]))
    assert found.r2 == pytest.approx(np.corrcoef(x, y)[0, 1] ** 2)
    assert found.at(0.0) == pytest.approx((intercept, math.sqrt(covariance[1, 1])))
    assert found.reaches(found.at(7000.0)[0]) == pytest.approx(7000.0)


def test_a_fit_of_exact_points_has_no_error() -> None:
    found = line([1.0, 2.0, 3.0], [5.0, 7.0, 9.0])
    assert (found.slope, found.intercept, found.r2) == pytest.approx((2.0, 3.0, 1.0))
    assert found.at(26_000.0) == pytest.approx((52_003.0, 0.0), abs=1e-6)
    assert line([1.0, 2.0], [4.0, 4.0]).reaches(5.0) == math.inf


@pytest.mark.parametrize(("x", "y"), [([1.0], [1.0]), ([2.0, 2.0], [1.0, 3.0]), ([1.0, 2.0], [1.0])])
def test_too_few_points_are_rejected(x: list[float], y: list[float]) -> None:
    with pytest.raises(ValueError):
        line(x, y)


def test_the_error_of_an_extrapolation_covers_the_true_value() -> None:
    """Over many draws, the true value beyond the points is within the 95% interval as often as expected."""
    draws, x, inside = np.random.default_rng(3), [50.0, 100.0, 200.0, 400.0, 800.0], 0
    for _ in range(400):
        value, error = line(x, [10.0 + 2.0 * at + draws.normal(0.0, 30.0) for at in x]).at(5000.0)
        inside += abs(value - 10_010.0) < 3.18 * error  # Student's t, three degrees of freedom, 95%
    assert 0.91 < inside / 400 < 0.985


@pytest.mark.parametrize("name", sorted(TINY))
def test_each_experiment_returns_all_its_figures(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    experiment = EXPERIMENTS[name]
    monkeypatch.setattr(shared, "WARM_MS", 1_500.0)
    monkeypatch.setattr(shared, "MEASURED_MS", 1_500.0)
    samples = [Sample(name, size, 1, experiment.play(size, 1)) for size in TINY[name]]
    for sample in samples:
        assert set(sample.values) >= {figure.name for figure in experiment.figures}
        for figure in experiment.figures:
            value = sample.values[figure.name]
            nothing = figure.name in MAY_BE_NOTHING or figure.unit in ("B", "servers")
            assert math.isfinite(value) and (value > 0.0 or (value >= 0.0 and nothing)), (name, figure, value)
    if name == "day":  # shared state adds to the cost of membership
        assert all(s.values["none"] < s.values["limits"] < s.values["all"] for s in samples)
    for figure in experiment.figures:
        row = fit(experiment, figure, samples)
        assert math.isfinite(row.at_target) and row.target == experiment.target


def test_every_experiment_is_tested() -> None:
    assert set(TINY) | ON_SOCKETS == set(EXPERIMENTS)


def test_counted_figures_are_deterministic() -> None:
    for name in ("gossip", "pulse", "chain"):
        counted = [f.name for f in EXPERIMENTS[name].figures if f.how == model.COUNTED]
        first, again = (EXPERIMENTS[name].play(TINY[name][0], 7) for _ in range(2))
        assert [first[figure] for figure in counted] == [again[figure] for figure in counted]


def test_a_longer_entry_per_member_increases_the_slope() -> None:
    """A planted longer address per member increases the slope by the additional bytes."""
    view = {size: EXPERIMENTS["view"].play(size, 1)["wire"] for size in (50, 100)}
    slope = (view[100] - view[50]) / 50
    made = sizes.address

    def longer(n: int) -> str:
        return made(n).replace(":", ".internal:")

    try:
        sizes.address = longer
        planted = {size: EXPERIMENTS["view"].play(size, 1)["wire"] for size in (50, 100)}
    finally:
        sizes.address = made
    assert (planted[100] - planted[50]) / 50 == pytest.approx(slope + len(".internal"), abs=1.5)


def test_a_full_view_is_truncated_at_the_size_limit() -> None:
    most = int(MAX_STATE_BYTES / 120)
    host = membership.Host(most)
    membership.fill(host.core, most)
    wire = Wire(membership.FLEET)
    data = wire.write_state(host.core.state())
    assert len(data) <= MAX_STATE_BYTES and len(wire.read_state(data).records) < len(host.core.view.members)


def test_shared_state_of_few_members_is_fresh() -> None:
    assert shared.EXPERIMENTS[0].play(4, 2)["fresh"] == 1.0


def test_a_healthy_chain_makes_one_attempt_per_tier() -> None:
    well = chain.Chain(3, 1)
    well.run(chain.ILL_MS + 5_000.0)
    assert well.bottom.asked == pytest.approx(well.tiers[0].asked, abs=3)
    assert chain.bound(2) == 25.0


def _grows(size: int, seed: int) -> dict[str, float]:
    return {"cost": 10.0 + 3.0 * size + (size > 8) * seed}


def _fails(size: int, seed: int) -> dict[str, float]:
    raise RuntimeError(f"nothing at {size}")


def _made(play: Callable[[int, int], dict[str, float]]) -> Experiment:
    return Experiment(
        "made", "made up", "members", 1000.0, (2, 4), (1, 2), (1,), (Figure("cost", "B"),), play, 16
    )


def test_a_report_holds_samples_lines_and_the_check_and_can_be_read_again() -> None:
    seen: list[Sample] = []
    report = run(Plan([_made(_grows)]), seen.append)
    assert [sample.size for sample in seen] == [2, 4, 16] and not report.failed
    (row,) = report.rows
    assert row.slope == pytest.approx(3.0) and row.at_target == pytest.approx(3010.0)
    assert row.means == pytest.approx([16.0, 22.0])
    assert (row.check_size, row.check) == (16, 59.0) and row.check_fit == pytest.approx(58.0)
    assert read_report(report.write()) == report
    unchecked = run(Plan([_made(_grows)], checks=False))
    assert unchecked.rows[0].check is None and read_report(unchecked.write()) == unchecked


def test_a_failed_run_is_reported_and_not_fitted() -> None:
    report = run(Plan([_made(_fails)], quick=True))
    assert not report.rows and len(report.failed) == 2 and "nothing at 1" in report.failed[0]


def test_the_command_measures_prints_and_writes(tmp_path: Path) -> None:
    file = tmp_path / "found.json"
    done = CliRunner().invoke(
        main, ["lab", "capacity", "--quick", "--sizes", "8,12", "--only", "store,ledger", "--json", str(file)]
    )
    assert done.exit_code == 0, done.output
    assert "traced" in done.output
    found = json.loads(file.read_text())
    assert found["quick"] and {sample["size"] for sample in found["samples"]} == {8, 12}
    assert {row["experiment"] for row in found["rows"]} == {"store", "ledger"}
    assert CliRunner().invoke(main, ["lab", "capacity", "--only", "nothing"]).exit_code == 2


def _soon(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, seconds in (("FOR_S", 0.6), ("WARM_S", 0.2), ("JOIN_S", 0.2)):
        monkeypatch.setattr(added, name, seconds)


def test_a_real_node_answers_all_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    _soon(monkeypatch)
    found = EXPERIMENTS["added"].play(20, 1)  # raises if a call fails or is not answered
    assert set(found) == {figure.name for figure in EXPERIMENTS["added"].figures}
    assert all(math.isfinite(value) for value in found.values())
    assert (
        found["alone_memory"] > 1.0 and found["fleet_memory"] > 1.0
    )  # CPU time is counted in ticks of 10 ms


def test_failed_calls_are_not_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    _soon(monkeypatch)
    monkeypatch.setattr(added, "ANSWER", added.ANSWER.replace(b"200 OK", b"500 No"))
    with pytest.raises(RuntimeError, match="calls failed"):
        EXPERIMENTS["added"].play(20, 1)
