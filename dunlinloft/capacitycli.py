"""What `dunlinloft lab capacity` prints: each figure's samples, its line, and what that says at the size."""

from __future__ import annotations

import io
from pathlib import Path

from rich.console import Console
from rich.markup import escape
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from dunlinloft import fleetcli
from dunlinloft.cli import BAD_FILE, SUCCESS, UNKEPT
from dunlinloft.tables import PLAIN
from lab.capacity import sizes
from lab.capacity.catalogue import EXPERIMENTS as OF_THE_LAB
from lab.capacity.membership import Host, fill
from lab.capacity.model import TIMED, Experiment, Figure, Plan, Report, Row, run
from lab.capacity.tools import best_ms
from lab.runner import BadSeeds, read_seeds

WIDTH = 190  # of the table, where nobody looks on a terminal
err = Console(stderr=True, soft_wrap=True)
COLUMNS = ("experiment", "figure", "unit", "means", "slope", "±", "intercept", "r²", "at", "", "±", "checked")


def _command(members: int, seed: int) -> dict[str, float]:
    """What `fleet members` makes of what a node tells: its time, and the bytes that it prints."""
    host = Host(members)
    fill(host.core, members)
    state = host.peers.show()[1]
    printed = io.StringIO()

    def write() -> None:
        printed.seek(0)
        Console(file=printed, width=WIDTH).print(fleetcli.table(state), highlight=False)

    return {"print": best_ms(write, 2), "printed": float(len(printed.getvalue()))}


COMMAND = Experiment(
    "command", "an operator's `fleet members`", "members", sizes.SERVERS, (250, 500, 1000, 2000),
    (20, 40, 80), (1, 2, 3), (Figure("print", "ms", TIMED), Figure("printed", "B")), _command,
)  # fmt: skip
EXPERIMENTS = OF_THE_LAB | {COMMAND.name: COMMAND}


def capacity(
    only: str | None, seeds: str | None, sizes: str | None, quick: bool, checks: bool, json_file: str | None
) -> int:
    """Measure; the exit status: 1 where a play came to no end, 2 for a name, seeds or sizes of no good."""
    names = only.split(",") if only else list(EXPERIMENTS)
    unknown = [name for name in names if name not in EXPERIMENTS]
    try:
        wanted, at = (read_seeds(text) if text else [] for text in (seeds, sizes))
    except BadSeeds as problem:
        err.print(f"[red]{escape(str(problem))}[/]")
        return BAD_FILE
    if unknown:
        err.print(f"[red]{escape(unknown[0])}: no such experiment; known are {', '.join(EXPERIMENTS)}[/]")
        return BAD_FILE
    plan = Plan([EXPERIMENTS[name] for name in names], quick, checks, wanted, at)
    report = _run(plan)
    if json_file:
        Path(json_file).write_bytes(report.write())
    show(report)
    return UNKEPT if report.failed else SUCCESS


def _run(plan: Plan) -> Report:
    columns = TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn()
    with Progress(*columns, console=err, transient=True) as progress:
        whole = progress.add_task("", total=sum(len(plan.plays(one)) for one in plan.experiments))
        return run(
            plan,
            lambda sample: progress.update(
                whole, advance=1, description=f"{sample.experiment} {sample.size}, seed {sample.seed}"
            ),
        )


def show(report: Report) -> None:
    """Print the lines, and what came to no end."""
    table = Table(*COLUMNS, **PLAIN)
    for row in report.rows:
        table.add_row(*_cells(row))
    out = Console()
    out = out if out.is_terminal else Console(width=WIDTH)
    out.print(table)
    for problem in report.failed:
        err.print(f"[red]{escape(problem)}[/]", highlight=False)


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
