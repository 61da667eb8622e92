"""`dunlinloft lab capacity`: samples of each metric, the fitted line, and its value at the target size."""

from __future__ import annotations

import io
from pathlib import Path

from rich.console import Console
from rich.markup import escape
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from dunlinloft.cli.admin_client import decode_document
from dunlinloft.cli.admin_documents import MembershipDocument
from dunlinloft.cli.consoles import report_invalid_input, stderr
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.handlers import fleet_members
from dunlinloft.cli.tables import PLAIN_STYLE
from lab.capacity import sizes
from lab.capacity.catalogue import EXPERIMENTS as LAB_EXPERIMENTS
from lab.capacity.membership import Host, fill
from lab.capacity.model import TIMED, Experiment, Figure, Plan, Report, Row, run
from lab.capacity.tools import best_ms
from lab.runner import SeedListError, read_seeds

TABLE_WIDTH = 190  # columns, if the output is not a terminal
COLUMNS = ("experiment", "figure", "unit", "means", "slope", "±", "intercept", "r²", "at", "", "±", "checked")


def _measure_fleet_members(members: int, seed: int) -> dict[str, float]:
    """Measure the time that `fleet members` takes to print a node's view, and the bytes printed."""
    host = Host(members)
    fill(host.core, members)
    document = decode_document(host.peers.status()[1], MembershipDocument)
    printed = io.StringIO()

    def write() -> None:
        """Print the view, overwriting the previous output."""
        printed.seek(0)
        Console(file=printed, width=TABLE_WIDTH).print(
            fleet_members.render_members(document), highlight=False
        )

    return {"print": best_ms(write, 2), "printed": float(len(printed.getvalue()))}


FLEET_MEMBERS_EXPERIMENT = Experiment(
    "command", "the `fleet members` command", "members", sizes.SERVERS, (250, 500, 1000, 2000),
    (20, 40, 80), (1, 2, 3), (Figure("print", "ms", TIMED), Figure("printed", "B")), _measure_fleet_members,
)  # fmt: skip
EXPERIMENTS = LAB_EXPERIMENTS | {FLEET_MEMBERS_EXPERIMENT.name: FLEET_MEMBERS_EXPERIMENT}


def measure_capacity(
    only: str | None, seeds: str | None, sizes: str | None, quick: bool, checks: bool, json_file: str | None
) -> ExitCode:
    """Run the experiments; fails if a run did not complete. Rejects unknown names, seeds or sizes."""
    names = only.split(",") if only else list(EXPERIMENTS)
    unknown = [name for name in names if name not in EXPERIMENTS]
    try:
        wanted_seeds = read_seeds(seeds) if seeds else []
        wanted_sizes = read_seeds(sizes) if sizes else []
    except SeedListError as error:
        return report_invalid_input(error)
    if unknown:
        return report_invalid_input(f"{unknown[0]}: unknown experiment; available: {', '.join(EXPERIMENTS)}")
    plan = Plan([EXPERIMENTS[name] for name in names], quick, checks, wanted_seeds, wanted_sizes)
    report = _run(plan)
    if json_file:
        Path(json_file).write_bytes(report.write())
    _print_report(report)
    return ExitCode.CHECK_FAILED if report.failed else ExitCode.SUCCESS


def _run(plan: Plan) -> Report:
    """Run all experiments with a progress bar."""
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=stderr, transient=True) as progress:
        bar = progress.add_task("", total=sum(len(plan.plays(one)) for one in plan.experiments))
        return run(
            plan,
            lambda sample: progress.update(
                bar, advance=1, description=f"{sample.experiment} {sample.size}, seed {sample.seed}"
            ),
        )


def _print_report(report: Report) -> None:
    """Print the fitted lines, and the runs that did not complete."""
    table = Table(*COLUMNS, **PLAIN_STYLE)
    for row in report.rows:
        table.add_row(*_cells(row))
    table_console = Console()
    table_console = table_console if table_console.is_terminal else Console(width=TABLE_WIDTH)
    table_console.print(table)
    for problem in report.failed:
        stderr.print(f"[red]{escape(problem)}[/]", highlight=False)


def _cells(row: Row) -> list[str]:
    power = "" if row.power == 1.0 else f"^{row.power:g}"
    checked = f"{row.check_size}: {row.check:.4g} ({row.check_fit:.4g})" if row.check_size else ""
    means = zip(row.sizes, row.means, strict=True)
    return [
        row.experiment, row.figure, f"{row.unit} by {row.axis}{power}",
        " ".join(f"{size}:{mean:.4g}" for size, mean in means), f"{row.slope:.4g}",
        f"{row.slope_error:.2g}", f"{row.intercept:.4g}", f"{row.r2:.4f}", f"{row.target:g}",
        f"{row.at_target:.4g}", f"{row.at_target_error:.2g}", checked,
    ]  # fmt: skip
