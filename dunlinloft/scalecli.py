"""What `lab scale` prints: figures by size, and their slopes."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli import BAD_FILE, SUCCESS, UNKEPT
from dunlinloft.tables import PLAIN
from lab.runner import BadSeeds, read_seeds
from lab.scale.fit import Line
from lab.scale.limits import Refused
from lab.scale.plan import Plan, Results, Sample
from lab.scale.run import play, write
from lab.scale.worker import WorkerDied

MOST_DEATHS = 5  # that are printed of a size
WIDTH = 150  # of what is no terminal
out, err = Console(), Console(stderr=True, soft_wrap=True)
if not out.is_terminal:
    out.width = WIDTH
# How each figure is printed: its title, and its form.
FIGURES = {
    "agreed_s": ("views agree, s", ".2f"),
    "messages_s": ("messages/s a member", ".2f"),
    "bytes_s": ("datagram bytes/s a member", ".0f"),
    "stream_bytes_s": ("stream bytes/s a member", ".0f"),
    "cpu_ms_s": ("CPU ms/s a member", ".3f"),
    "memory_mb": ("memory MB a member", ".3f"),
    "known_p50_s": ("crash known p50, s", ".2f"),
    "known_p99_s": ("crash known p99, s", ".2f"),
    "known_max_s": ("crash known max, s", ".2f"),
    "unknown": ("crashes not known", ".0f"),
    "false_deaths": ("false deaths", ".0f"),
    "directory_messages_s": ("messages/s a directory process", ".1f"),
    "directory_bytes_s": ("bytes/s a directory process", ".0f"),
    "directory_cpu_ms_s": ("CPU ms/s a directory process", ".2f"),
    "directory_memory_mb": ("memory MB a directory process", ".1f"),
    "node_requests_s": ("requests/s a node", ".1f"),
    "node_cpu_ms_s": ("node CPU ms/s", ".1f"),
    "node_added_cpu_ms_s": ("the fleet's, of node CPU", ".1f"),
    "node_memory_mb": ("node memory MB", ".1f"),
    "node_added_memory_mb": ("the fleet's, of node memory", ".1f"),
    "node_p50_ms": ("node p50, ms", ".1f"),
    "node_p99_ms": ("node p99, ms", ".1f"),
    "late_ms": ("most late, ms", ".0f"),
}
KINDS = {"alone": "the nodes alone", "sockets": "on sockets", "virtual": "in virtual time"}


class BadOption(Exception):
    """An option that can't be read."""


def read_sizes(text: str) -> list[int]:
    """Sizes written as `50,100,200`; `none` is none."""
    if text.strip() == "none":
        return []
    parts = [part.strip() for part in text.split(",")]
    for part in parts:
        if not part.isdigit():
            raise BadOption(f"{part!r} is no size; expected whole numbers with commas between, or none")
    return sorted({int(part) for part in parts})


def read_keys(pairs: tuple[str, ...]) -> dict[str, Any]:
    """Keys of a `fleet` object, each as KEY=JSON."""
    keys: dict[str, Any] = {}
    for pair in pairs:
        key, sign, value = pair.partition("=")
        try:
            keys[key] = json.loads(value)
        except ValueError:
            sign = ""
        if not key or not sign:
            raise BadOption(f"{pair!r:.60} is no key of the fleet object; expected KEY=JSON")
    return keys


def scale(plan: Plan, json_file: str | None) -> int:
    """Play it and print; the exit status."""
    began = time.monotonic()

    def say(text: str) -> None:
        err.print(f"{time.monotonic() - began:6.1f} s  {text}", highlight=False)

    def keep(results: Results) -> None:
        if json_file:
            write(results, Path(json_file))

    try:
        results = play(plan, say, keep)
    except (Refused, WorkerDied) as problem:
        err.print(f"[red]{escape(str(problem))}[/]", highlight=False)
        return BAD_FILE if isinstance(problem, Refused) else UNKEPT
    except KeyboardInterrupt:
        err.print("interrupted; what had been started was ended")
        return UNKEPT
    keep(results)
    show(results)
    return SUCCESS if all(_kept(sample) for sample in results.samples) else UNKEPT


def _kept(sample: Sample) -> bool:
    """Whether it counts, nobody who lived was called dead, and every crash became known."""
    figures = sample.figures
    return sample.counted() and not figures.get("false_deaths") and not figures.get("unknown")


def show(results: Results) -> None:
    """Print figures by size for each kind, the lines through them, and what did not count."""
    for kind, title in KINDS.items():
        samples = [sample for sample in results.samples if sample.kind == kind]
        if samples:
            out.print(f"\n{title}", highlight=False)
            out.print(_figures(samples))
        if results.fits.get(kind):
            out.print(_lines(results.fits[kind], results.plan.target))
    for sample in results.samples:
        for why in sample.why:
            line = f"{KINDS[sample.kind]}, {sample.size} members, seed {sample.seed} does not count: {why}"
            out.print(f"[yellow]{escape(line)}[/]", highlight=False)
        for death in sample.false_deaths[:MOST_DEATHS]:
            line = (
                f"{sample.size} members, seed {sample.seed}: {death.by} called {death.name} dead, which lived"
            )
            out.print(f"[red]{escape(line)}[/]", highlight=False)


def _figures(samples: list[Sample]) -> Table:
    table = Table("members", **PLAIN)
    several = len({sample.seed for sample in samples}) > 1
    for sample in samples:
        title = f"{sample.size}, seed {sample.seed}" if several else str(sample.size)
        table.add_column(title, justify="right")
    for name, (title, form) in FIGURES.items():
        values = [sample.figures.get(name) for sample in samples]
        if any(value is not None for value in values):
            table.add_row(title, *(_number(value, form) for value in values))
    return table


def _lines(lines: dict[str, Line], target: float) -> Table:
    table = Table("line through it", **PLAIN)
    for column in ("a member", "± s.e.", "at 0", "± s.e.", "r²", f"at {target:,.0f}", "± s.e."):
        table.add_column(column, justify="right")
    for name, (title, _) in FIGURES.items():
        line = lines.get(name)
        if line is not None:
            found = (line.slope, line.slope_error, line.intercept, line.intercept_error)
            r2, far = _number(line.r2, ".3f"), (line.at_target, line.at_target_error)
            table.add_row(title, *map(_number, found), r2, *map(_number, far))
    return table


def _number(value: float | None, form: str = ".3g") -> str:
    return "" if value is None else format(value, form)


def run(
    sizes: str,
    virtual_sizes: str,
    seeds: str,
    json_file: str | None,
    fleet_keys: tuple[str, ...],
    **more: Any,
) -> int:
    """Read the options and play; the exit status."""
    try:
        plan = Plan(
            read_sizes(sizes),
            read_sizes(virtual_sizes),
            read_seeds(seeds),
            fleet_keys=read_keys(fleet_keys),
            **more,
        )
    except (BadSeeds, BadOption) as problem:
        err.print(f"[red]{escape(str(problem))}[/]", highlight=False)
        return BAD_FILE
    return scale(plan, json_file)
