"""`dunlinloft lab scale`: the cost of a member at several fleet sizes, and lines fitted to the metrics."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeAlias

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli.consoles import report_invalid_input, stderr
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.tables import PLAIN_STYLE
from dunlinloft.exceptions import DunlinloftError
from lab.runner import SeedListError, read_seeds
from lab.scale.fit import FittedLine
from lab.scale.limits import Refused
from lab.scale.plan import Plan, Results, Sample
from lab.scale.run import play, write
from lab.scale.worker import WorkerDied

MAX_DEATHS_SHOWN = 5  # false death declarations printed per sample
TABLE_WIDTH = 150  # columns, if the output is not a terminal
stdout = Console()
if not stdout.is_terminal:
    stdout.width = TABLE_WIDTH
# Title and format of each metric.
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
KIND_TITLES = {"alone": "the nodes alone", "sockets": "on sockets", "virtual": "in virtual time"}


# Extra keys of each member's `fleet` object, as JSON values.
FleetKeys: TypeAlias = dict[str, Any]


class OptionError(DunlinloftError):
    """An option's value can't be parsed; the message says what was expected."""


@dataclass(frozen=True)
class ScaleOptions:
    """The options of `lab scale` as given; names end in the unit of a duration."""

    sizes: str
    virtual_sizes: str
    seeds: str
    measured_s: float
    warm_up_s: float
    virtual_measured_s: float
    virtual_warm_up_s: float
    nodes: int
    rate_per_s: float
    per_process: int
    victims: int
    target_members: float
    time_limit_min: float
    fleet_keys: tuple[str, ...]
    cell_members: int
    directory_processes: int
    partial_views: bool
    json_file: str | None


def parse_sizes(text: str) -> list[int]:
    """Parse sizes such as `50,100,200`; `none` means no size. Raises `OptionError`."""
    if text.strip() == "none":
        return []
    items = [item.strip() for item in text.split(",")]
    for item in items:
        if not item.isdigit():
            raise OptionError(f"invalid size {item!r}; expected comma-separated whole numbers, or none")
    return sorted({int(item) for item in items})


def parse_fleet_keys(pairs: tuple[str, ...]) -> FleetKeys:
    """Parse keys of a `fleet` object, each written as KEY=JSON. Raises `OptionError`."""
    keys: FleetKeys = {}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        try:
            keys[key] = json.loads(value)
        except ValueError:
            equals = ""
        if not key or not equals:
            raise OptionError(f"invalid key of the fleet object {pair!r:.60}; expected KEY=JSON")
    return keys


def measure_scale(options: ScaleOptions) -> ExitCode:
    """Measure all sizes; fails if a sample is invalid, a live member was declared dead or a crash missed."""
    try:
        plan = _plan(options)
    except (SeedListError, OptionError) as error:
        return report_invalid_input(error)
    started_s = time.monotonic()

    def report_progress(text: str) -> None:
        """Print a progress message with the seconds since the start."""
        stderr.print(f"{time.monotonic() - started_s:6.1f} s  {text}", highlight=False)

    def save(results: Results) -> None:
        """Write the results so far if an output file was requested."""
        if options.json_file:
            write(results, Path(options.json_file))

    try:
        results = play(plan, report_progress, save)
    except Refused as error:
        return report_invalid_input(error)
    except WorkerDied as error:
        stderr.print(f"[red]{escape(str(error))}[/]", highlight=False)
        return ExitCode.CHECK_FAILED
    except KeyboardInterrupt:
        stderr.print("interrupted; all started processes were stopped")
        return ExitCode.CHECK_FAILED
    save(results)
    _print_results(results)
    successful = all(_is_successful(sample) for sample in results.samples)
    return ExitCode.SUCCESS if successful else ExitCode.CHECK_FAILED


def _plan(options: ScaleOptions) -> Plan:
    """Build the plan from the options. Raises `SeedListError` or `OptionError`."""
    return Plan(
        parse_sizes(options.sizes),
        parse_sizes(options.virtual_sizes),
        read_seeds(options.seeds),
        fleet_keys=parse_fleet_keys(options.fleet_keys),
        nodes=options.nodes,
        rate_per_s=options.rate_per_s,
        per_process=options.per_process,
        victims=options.victims,
        settle_s=options.warm_up_s,
        seconds=options.measured_s,
        virtual_settle_s=options.virtual_warm_up_s,
        virtual_seconds=options.virtual_measured_s,
        target=options.target_members,
        minutes=options.time_limit_min,
        parts=options.partial_views,
        cells=options.cell_members,
        directory=options.directory_processes,
    )


def _is_successful(sample: Sample) -> bool:
    """Whether a sample counts, no live member was declared dead, and every crash was detected."""
    figures = sample.figures
    return sample.counted() and not figures.get("false_deaths") and not figures.get("unknown")


def _print_results(results: Results) -> None:
    """Print metrics by size for each kind, the fitted lines, and the samples that don't count."""
    for kind, title in KIND_TITLES.items():
        samples = [sample for sample in results.samples if sample.kind == kind]
        if samples:
            stdout.print(f"\n{title}", highlight=False)
            stdout.print(_figure_table(samples))
        if results.fits.get(kind):
            stdout.print(_fit_table(results.fits[kind], results.plan.target))
    for sample in results.samples:
        for reason in sample.why:
            title = KIND_TITLES[sample.kind]
            text = f"{title}, {sample.size} members, seed {sample.seed} does not count: {reason}"
            stdout.print(f"[yellow]{escape(text)}[/]", highlight=False)
        for death in sample.false_deaths[:MAX_DEATHS_SHOWN]:
            text = f"{sample.size} members, seed {sample.seed}: {death.by} wrongly declared {death.name} dead"
            stdout.print(f"[red]{escape(text)}[/]", highlight=False)


def _figure_table(samples: list[Sample]) -> Table:
    table = Table("members", **PLAIN_STYLE)
    several_seeds = len({sample.seed for sample in samples}) > 1
    for sample in samples:
        title = f"{sample.size}, seed {sample.seed}" if several_seeds else str(sample.size)
        table.add_column(title, justify="right")
    for name, (title, format_spec) in FIGURES.items():
        values = [sample.figures.get(name) for sample in samples]
        if any(value is not None for value in values):
            table.add_row(title, *(_number(value, format_spec) for value in values))
    return table


def _fit_table(fits: dict[str, FittedLine], target: float) -> Table:
    table = Table("line through it", **PLAIN_STYLE)
    for column in ("a member", "± s.e.", "at 0", "± s.e.", "r²", f"at {target:,.0f}", "± s.e."):
        table.add_column(column, justify="right")
    for name, (title, _) in FIGURES.items():
        fit = fits.get(name)
        if fit is not None:
            coefficients = (fit.slope, fit.slope_error, fit.intercept, fit.intercept_error)
            r2 = _number(fit.r2, ".3f")
            extrapolated = (fit.at_target, fit.at_target_error)
            table.add_row(title, *map(_number, coefficients), r2, *map(_number, extrapolated))
    return table


def _number(value: float | None, format_spec: str = ".3g") -> str:
    return "" if value is None else format(value, format_spec)
