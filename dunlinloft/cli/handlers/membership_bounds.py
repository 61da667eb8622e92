"""`dunlinloft lab members`: membership measured in virtual time against its bounds."""

from __future__ import annotations

from rich.markup import escape
from rich.progress import Progress, TimeElapsedColumn
from rich.table import Table

from dunlinloft.cli.consoles import report_invalid_input, stderr, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.progress import PERCENT_COLUMNS
from dunlinloft.cli.tables import PLAIN_STYLE
from lab.members import EXPERIMENTS, measure
from lab.runner import SeedListError, read_seeds


def measure_membership(
    size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float
) -> ExitCode:
    """Run the experiments; fails if a bound is missed or a rule violated."""
    names = [name.strip() for name in only.split(",")] if only else list(EXPERIMENTS)
    unknown = [name for name in names if name not in EXPERIMENTS]
    if unknown:
        return report_invalid_input(f"unknown experiment {unknown[0]!r}; available: {', '.join(EXPERIMENTS)}")
    try:
        seed_list = read_seeds(seeds)
    except SeedListError as error:
        return report_invalid_input(error)
    with Progress(*PERCENT_COLUMNS, TimeElapsedColumn(), console=stderr, transient=True) as progress:
        bar = progress.add_task(f"{size} members, {core}", total=len(seed_list) * len(names))
        measurements, violations = measure(
            names, size, seed_list, core, minutes, jobs, lambda: progress.advance(bar)
        )
    table = Table("experiment", "figure", "samples", "p50", "p99", "max", "bound", "", **PLAIN_STYLE)
    for measurement in measurements:
        bound = f"{measurement.bound.of} {measurement.bound.most:g}" if measurement.bound else ""
        verdict = (
            "" if measurement.bound is None else "[green]met[/]" if measurement.kept() else "[red]missed[/]"
        )
        values = (f"{measurement.value(statistic):.2f}" for statistic in ("p50", "p99", "max"))
        text = EXPERIMENTS[measurement.experiment].text
        table.add_row(text, measurement.figure, str(len(measurement.samples)), *values, bound, verdict)
    stdout.print(table)
    for line in violations:
        stdout.print(f"[red]{escape(line)}[/]", highlight=False)
    within_bounds = not violations and all(measurement.kept() for measurement in measurements)
    return ExitCode.SUCCESS if within_bounds else ExitCode.CHECK_FAILED
