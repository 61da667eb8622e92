"""What the lab's commands print: progress, tables, verdicts."""

from __future__ import annotations

import sys
from pathlib import Path

from rich.console import Console
from rich.markup import escape
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from dunlinloft.cli import BAD_FILE, SUCCESS, UNKEPT
from dunlinloft.tables import PLAIN
from lab.oracle import RULES
from lab.results import BadResults, Result, Results, read, summary, write
from lab.runner import BadSeeds, Run, play_all, read_seeds
from lab.scenario import SHIPPED, BadScenario, load

MOST_LINES = 12  # of breaks that are printed for a seed
PROGRESS = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f}%"))
out, err = Console(soft_wrap=False), Console(stderr=True, soft_wrap=True)


def _bad(problem: Exception) -> int:
    err.print(f"[red]{escape(str(problem))}[/]", highlight=False)
    return BAD_FILE


def run(
    name: str,
    host: str,
    seeds: str,
    jobs: int,
    json_file: str | None,
    html_file: str | None,
    logs: str | None,
    changes: tuple[str, ...] = (),
) -> int:
    """Play a scenario, with these changes; the exit status."""
    try:
        scenario = load(name, changes)
        wanted = read_seeds(seeds)
        if host == "processes":
            from lab.processes.day import unfit

            if why := unfit(scenario):
                raise BadScenario(f"{name}: {why}")
    except (BadScenario, BadSeeds) as problem:
        return _bad(problem)
    results = summary(scenario, host)
    task = Run(scenario, host, wanted, jobs, Path(logs) if logs else None)
    try:
        with Progress(*PROGRESS, TimeElapsedColumn(), console=err, transient=True) as progress:
            whole = progress.add_task(f"{scenario.name}, {host}", total=len(wanted))
            shares: dict[int, float] = {}

            def step(seed: int, share: float) -> None:
                shares[seed] = share
                progress.update(whole, completed=sum(shares.values()))

            for result in play_all(task, step):
                step(result.seed, 1.0)
                results.results.append(result)
    except KeyboardInterrupt:
        err.print("interrupted; what had been started was ended")
        return UNKEPT
    results.results.sort(key=lambda result: wanted.index(result.seed))
    if json_file:
        write(results, Path(json_file))
    if html_file:
        from lab.report import page

        Path(html_file).write_text(page(results), encoding="utf-8")
    show(results)
    if not results.counted():
        err.print("[red]no run counts: each of them was late or came to no end[/]")
    return SUCCESS if results.counted() and all(r.kept() for r in results.results if r.counted) else UNKEPT


def _verdict(result: Result) -> str:
    """In a word or two."""
    if result.crashed:
        return "[red]no result[/]"
    if not result.counted:
        return f"[yellow]late by {result.late_ms:.0f} ms[/]"
    if result.broken:
        return f"[red]broken: {', '.join(result.broken)}[/]"
    return "[red]missed[/]" if result.missed else "[green]kept[/]"


def _details(result: Result) -> list[str]:
    """What was broken or missed, a line each."""
    lines = [f"at {b.at / 1000.0:.2f} s, {b.rule}: {b.who}: {b.what}" for b in result.breaks[:MOST_LINES]]
    more = sum(result.broken.values()) - len(lines)
    lines += [f"and {more} breaks more"] if more > 0 else []
    lines += [f"{m.figure} is {m.got:.4f}, and {m.wanted} was expected" for m in result.missed]
    lines += [result.crashed.strip()] if result.crashed else []
    return [f"seed {result.seed}: {line}" for line in lines]


COLUMNS = (
    ("goodput", "goodput", ".3f"), ("worst", "worst_10s", ".3f"), ("refused", "refused", ".3f"),
    ("lost", "lost", ".4f"), ("att/req", "attempts", ".3f"), ("p50 ms", "p50_ms", ".0f"),
    ("p99 ms", "p99_ms", ".0f"),
)  # fmt: skip


def show(results: Results) -> None:
    """Print a table with a line for each seed, one by class, and what was broken."""
    out.print(f"{results.scenario}, {results.host}: {results.about}", highlight=False)
    table = Table("seed", *(title for title, _, _ in COLUMNS), "rules", **PLAIN)
    for result in results.results:
        cells = [format(result.figures[key], form) if result.figures else "" for _, key, form in COLUMNS]
        table.add_row(str(result.seed), *cells, _verdict(result))
    out.print(table)
    counted = results.counted()
    if counted:
        table = Table("class", "goodput", "refused", "failed", "lost", "p50 ms", "p99 ms", **PLAIN)
        for name in sorted({key.split(".")[1] for key in counted[0].figures if key.startswith("class.")}):
            keys = ("goodput", "refused", "failed", "lost", "p50_ms", "p99_ms")
            means = [sum(r.figures[f"class.{name}.{key}"] for r in counted) / len(counted) for key in keys]
            table.add_row(name, *(f"{m:.3f}" for m in means[:4]), *(f"{m:.0f}" for m in means[4:]))
        out.print(table)
    for result in results.results:
        for line in _details(result):
            out.print(escape(line), highlight=False, soft_wrap=True)
    names = sorted({rule for result in results.results for rule in result.broken})
    for name in names:
        out.print(f"{name}: {RULES[name]}", highlight=False)


def compare(first: str, second: str) -> int:
    """Print two result files side by side; the exit status."""
    from lab.compare import compare as compare_results

    try:
        rows, method = compare_results(read(Path(first)), read(Path(second)))
    except BadResults as problem:
        return _bad(problem)
    out.print(f"A: {first}\nB: {second}", highlight=False)
    table = Table(**PLAIN)
    for column in ("figure", "A", "spread of A", "B", "spread of B", "B - A", "95% of it", "verdict"):
        table.add_column(column, justify="left" if column in ("figure", "verdict") else "right")
    for row in rows:
        table.add_row(*row)
    out.print(table)
    out.print(method)
    return SUCCESS


def report(results: str, html_file: str) -> int:
    """Write the page of a result file; the exit status."""
    from lab.report import page

    try:
        text = page(read(Path(results)))
    except BadResults as problem:
        return _bad(problem)
    Path(html_file).write_text(text, encoding="utf-8")
    out.print(f"{html_file} is written", highlight=False)
    return SUCCESS


def members(size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float) -> int:
    """Measure membership; the exit status."""
    from lab.members import EXPERIMENTS, measure

    names = [name.strip() for name in only.split(",")] if only else list(EXPERIMENTS)
    unknown = [name for name in names if name not in EXPERIMENTS]
    if unknown:
        return _bad(BadSeeds(f"no experiment is {unknown[0]!r}; expected some of {', '.join(EXPERIMENTS)}"))
    try:
        wanted = read_seeds(seeds)
    except BadSeeds as problem:
        return _bad(problem)
    with Progress(*PROGRESS, TimeElapsedColumn(), console=err, transient=True) as progress:
        whole = progress.add_task(f"{size} members, {core}", total=len(wanted) * len(names))
        found, broken = measure(names, size, wanted, core, minutes, jobs, lambda: progress.advance(whole))
    table = Table("experiment", "figure", "samples", "p50", "p99", "max", "bound", "", **PLAIN)
    for m in found:
        bound = f"{m.bound.of} {m.bound.most:g}" if m.bound else ""
        verdict = "" if m.bound is None else "[green]kept[/]" if m.kept() else "[red]missed[/]"
        values = (f"{m.value(of):.2f}" for of in ("p50", "p99", "max"))
        table.add_row(EXPERIMENTS[m.experiment].text, m.figure, str(len(m.samples)), *values, bound, verdict)
    out.print(table)
    for line in broken:
        out.print(f"[red]{escape(line)}[/]", highlight=False)
    return SUCCESS if not broken and all(m.kept() for m in found) else UNKEPT


def list_shipped() -> None:
    """Print the shipped scenarios, each with what it is about."""
    table = Table("scenario", "about")
    for path in sorted(SHIPPED.glob("*.toml")):
        scenario = load(str(path))
        table.add_row(path.stem, scenario.about)
    out.print(table)
    if not table.row_count:
        sys.exit(UNKEPT)
