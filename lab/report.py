"""Renders a result file as one self-contained HTML page: figures, charts over time, and faults as spans."""

from __future__ import annotations

import base64
import io
import math
from typing import Any

import matplotlib
import numpy as np
from jinja2 import Environment, PackageLoader, select_autoescape
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from lab.figures import OUTCOMES
from lab.oracle import RULES
from lab.results import Result, Results

matplotlib.use("Agg")
COLOURS = {
    "in_time": "#4c956c", "late": "#d9ae4f", "refused": "#7a8fb8", "failed": "#c8553d", "lost": "#7b1e1e",
    "left": "#c9c9c9",
}  # fmt: skip
SHADES = ("#999999", "#b07aa1", "#e0a458", "#6c9a8b", "#8899cc")
MAX_REPORT_GAP_S = 1.9  # longest interval between reports of a running process
MAX_SHOWN_SEEDS, MAX_SHOWN_NODES = 6, 24  # seeds shown with charts; nodes drawn in one chart
BELIEFS = (
    ("hosts_down", "servers avoided"), ("inflight", "requests in flight"), ("memory_mb", "memory in MB"),
    ("cpu_share", "share of a core used"), ("fleet_members", "members in its view"),
    ("release_share", "share that new servers may get"),
    ("fleet_divergent", "views that differ from its own"), ("fleet_nodes", "parts of the budgets"),
)  # fmt: skip


def page(results: Results) -> str:
    """Render the page as HTML."""
    environment = Environment(loader=PackageLoader("lab", "."), autoescape=select_autoescape(default=True))
    shown = [result for result in results.results if result.figures][:MAX_SHOWN_SEEDS]
    classes = sorted({k.split(".")[1] for r in shown for k in r.figures if k.startswith("class.")})
    return environment.get_template("report.html.j2").render(
        results=results,
        classes=classes,
        rules=RULES,
        seeds=[(result, _charts(result), _faults(result)) for result in shown],
        hidden=len(results.results) - len(shown),
        broken=sum(bool(result.broken) for result in results.results),
        kept=sum(result.kept() for result in results.results),
    )


def _faults(result: Result) -> list[tuple[str, str, str, str]]:
    """Return the colour, name, time and affected nodes or servers of each fault."""
    found = []
    for n, span in enumerate(result.faults):
        whom = ", ".join(span.whom[:12]) + (f" and {len(span.whom) - 12} more" if len(span.whom) > 12 else "")
        when = (
            f"{span.start_s:.1f} s"
            if _is_instantaneous(result, n)
            else f"{span.start_s:.1f} to {span.end_s:.1f} s"
        )
        found.append((SHADES[n % len(SHADES)], span.name.partition(":")[2], when, whom))
    return found


def _is_instantaneous(result: Result, n: int) -> bool:
    """Return whether a fault is instantaneous: a signal, a start or an operator action."""
    kind = result.faults[n].name.partition(":")[2]
    return kind in ("kill", "terminate", "operation", "started")


def _shade(axes: Axes, result: Result) -> None:
    for n, span in enumerate(result.faults):
        colour = SHADES[n % len(SHADES)]
        if _is_instantaneous(result, n):
            axes.axvline(span.start_s, color=colour, linewidth=1.5, linestyle="--")
        else:
            axes.axvspan(span.start_s, span.end_s, color=colour, alpha=0.18, linewidth=0)


def _new_chart(title: str, label: str, result: Result) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(9.0, 2.5), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(title, loc="left", fontsize=10)
    axes.set_ylabel(label, fontsize=8)
    axes.set_xlabel("seconds", fontsize=8)
    axes.tick_params(labelsize=8)
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", linewidth=0.4, alpha=0.6)
    _shade(axes, result)
    return figure, axes


def _encode(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110)
    return base64.b64encode(buffer.getvalue()).decode()


def _duration_s(result: Result) -> int:
    """Return the number of seconds up to the last arrival."""
    outcomes = result.series.outcomes.values()
    totals = np.sum([counts for by in outcomes for counts in by.values()], axis=0)
    return int(np.flatnonzero(totals)[-1]) + 1 if totals.any() else 1


def _charts(result: Result) -> list[tuple[str, str]]:
    """Return the alternative text and the base64 PNG of each chart."""
    length = _duration_s(result)
    found = [_outcome_chart(name, result, length) for name in sorted(result.series.outcomes)]
    found.append(_latency_chart(result, length))
    found.append(_attempt_chart(result, length))
    found += [chart for key, title in BELIEFS if (chart := _belief_chart(key, title, result))]
    return found


def _outcome_chart(name: str, result: Result, length: int) -> tuple[str, str]:
    figure, axes = _new_chart(
        f"{name}: outcomes of the requests that arrived in each second", "requests", result
    )
    seconds = np.arange(length)
    bottom = np.zeros(length)
    for outcome in OUTCOMES:
        counts = np.array(result.series.outcomes[name][outcome][:length], dtype=float)
        if counts.any():
            label = "refused, or no node reached" if outcome == "refused" else outcome.replace("_", " ")
            axes.bar(seconds + 0.5, counts, 0.95, bottom, color=COLOURS[outcome], label=label, linewidth=0)
            bottom += counts
    axes.set_xlim(0, length)
    axes.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    return f"outcomes of {name} by second", _encode(figure)


def _latency_chart(result: Result, length: int) -> tuple[str, str]:
    figure, axes = _new_chart("latency of served requests, by second of arrival", "ms", result)
    for name, values in result.series.percentiles.items():
        shown = np.array(values[:length])
        shown[shown == 0.0] = math.nan
        axes.plot(np.arange(length) + 0.5, shown, label=name.removesuffix("_ms"), linewidth=1.3)
    axes.set_yscale("log")
    axes.set_xlim(0, length)
    axes.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    return "latency percentiles by second", _encode(figure)


def _attempt_chart(result: Result, length: int) -> tuple[str, str]:
    figure, axes = _new_chart("attempts at servers, and refusals", "a second", result)
    seconds = np.arange(length) + 0.5
    axes.plot(seconds, result.series.attempts[:length], label="attempts", linewidth=1.3)
    axes.plot(seconds, result.series.refusals[:length], label="refusals", linewidth=1.3)
    axes.set_xlim(0, length)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    return "attempts and refusals by second", _encode(figure)


def _belief_chart(key: str, title: str, result: Result) -> tuple[str, str] | None:
    beliefs = sorted(result.series.beliefs.items(), key=lambda item: (len(item[0]), item[0]))
    nodes = {name: _series(key, figures) for name, figures in beliefs}
    nodes = {name: series for name, series in nodes.items() if series is not None}
    if not nodes:
        return None
    figure, axes = _new_chart(f"reported by each process: {title}", title, result)
    named = len(nodes) <= 12
    for name, series in list(nodes.items())[:MAX_SHOWN_NODES]:
        assert series is not None
        axes.plot(*series, label=name if named else None, linewidth=1.0, alpha=0.9 if named else 0.5)
    axes.set_xlim(0, _duration_s(result))
    axes.set_ylim(bottom=0)
    if named:
        axes.legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    elif len(nodes) > MAX_SHOWN_NODES:
        axes.text(1.0, 1.0, f"{MAX_SHOWN_NODES} of {len(nodes)} nodes", transform=axes.transAxes, fontsize=7)
    return f"{title} by node", _encode(figure)


def _series(key: str, figures: dict[str, list[float]]) -> tuple[Any, Any] | None:
    """Return the times and values of a figure, or None if there are too few."""
    at = np.array(figures["at_s"])
    values = np.array(figures.get("cpu_s" if key == "cpu_share" else key, []))
    if len(values) != len(at) or len(at) < 2:
        return None
    if key == "cpu_share":  # derivative of the CPU time, which starts at 0 in a new process
        values = np.diff(values, prepend=math.nan) / np.diff(at, prepend=math.nan)
        values[values < 0.0] = math.nan
    # Interrupt the line while the process was not running.
    gaps = np.flatnonzero(np.diff(at) > MAX_REPORT_GAP_S) + 1
    return np.insert(at, gaps, at[gaps - 1]), np.insert(values, gaps, math.nan)
