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
from lab.runner import BadSeeds, read_seeds


def measure_membership(
    size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float
) -> ExitCode:
    """Run the experiments; fails if a bound is missed or a rule violated."""
    names = [name.strip() for name in only.split(",")] if only else list(EXPERIMENTS)
    unknown = [name for name in names if name not in EXPERIMENTS]
    if unknown:
        return report_invalid_input(f"unknown experiment {unknown[0]!r}; available: {', '.join(EXPERIMENTS)}")
    try:
        wanted = read_seeds(seeds)
    except BadSeeds as error:
        return report_invalid_input(error)
    with Progress(*PERCENT_COLUMNS, TimeElapsedColumn(), console=stderr, transient=True) as progress:
        bar = progress.add_task(f"{size} members, {core}", total=len(wanted) * len(names))
        measurements, violations = measure(
            names, size, wanted, core, minutes, jobs, lambda: progress.advance(bar)
        )
    table = Table("experiment", "figure", "samples", "p50", "p99", "max", "bound", "", **PLAIN_STYLE)
    for found in measurements:
        bound = f"{found.bound.of} {found.bound.most:g}" if found.bound else ""
        verdict = "" if found.bound is None else "[green]met[/]" if found.kept() else "[red]missed[/]"
        values = (f"{found.value(of):.2f}" for of in ("p50", "p99", "max"))
        text = EXPERIMENTS[found.experiment].text
        table.add_row(text, found.figure, str(len(found.samples)), *values, bound, verdict)
    stdout.print(table)
    for line in violations:
        stdout.print(f"[red]{escape(line)}[/]", highlight=False)
    within_bounds = not violations and all(found.kept() for found in measurements)
    return ExitCode.SUCCESS if within_bounds else ExitCode.CHECK_FAILED
