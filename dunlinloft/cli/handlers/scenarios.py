"""`dunlinloft lab run`, `compare`, `report` and `list`: scenario runs and their results."""

from __future__ import annotations

from pathlib import Path

from rich.markup import escape
from rich.progress import Progress, TimeElapsedColumn
from rich.table import Table

from dunlinloft.cli.consoles import report_invalid_input, stderr, stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.cli.progress import PERCENT_COLUMNS
from dunlinloft.cli.tables import PLAIN_STYLE
from lab.oracle import RULES
from lab.results import Result, Results, ResultsError, empty_results, read, write
from lab.runner import Run, SeedListError, play_all, read_seeds
from lab.scenario import SHIPPED_SCENARIOS, Scenario, ScenarioError, load

MAX_VIOLATIONS_SHOWN = 12  # rule violations printed per seed

# Title, metric and format of each column.
SEED_COLUMNS = (
    ("goodput", "goodput", ".3f"), ("worst", "worst_10s", ".3f"), ("refused", "refused", ".3f"),
    ("lost", "lost", ".4f"), ("att/req", "attempts", ".3f"), ("p50 ms", "p50_ms", ".0f"),
    ("p99 ms", "p99_ms", ".0f"),
)  # fmt: skip
CLASS_COLUMNS = (
    ("goodput", "goodput", ".3f"), ("refused", "refused", ".3f"), ("failed", "failed", ".3f"),
    ("lost", "lost", ".3f"), ("p50 ms", "p50_ms", ".0f"), ("p99 ms", "p99_ms", ".0f"),
)  # fmt: skip


def run_scenario(
    name: str,
    host: str,
    seeds: str,
    jobs: int,
    json_file: str | None,
    html_file: str | None,
    logs: str | None,
    changes: tuple[str, ...] = (),
) -> ExitCode:
    """Run a scenario with some of its values changed; fails if a rule or an expectation is violated."""
    try:
        scenario = load(name, changes)
        seed_list = read_seeds(seeds)
        _require_playable(scenario, name, host)
    except (ScenarioError, SeedListError) as error:
        return report_invalid_input(error)
    results = empty_results(scenario, host)
    try:
        _play(Run(scenario, host, seed_list, jobs, Path(logs) if logs else None), results)
    except KeyboardInterrupt:
        stderr.print("interrupted; all started processes were stopped")
        return ExitCode.CHECK_FAILED
    results.results.sort(key=lambda result: seed_list.index(result.seed))
    if json_file:
        write(results, Path(json_file))
    if html_file:
        from lab.report import page

        Path(html_file).write_text(page(results), encoding="utf-8")
    _print_results(results)
    counted = results.counted()
    if not counted:
        stderr.print("[red]no run counts: each one was late or did not complete[/]")
    successful = counted and all(result.kept() for result in results.results if result.counted)
    return ExitCode.SUCCESS if successful else ExitCode.CHECK_FAILED


def _require_playable(scenario: Scenario, name: str, host: str) -> None:
    """Raise `ScenarioError` if the host can't run the scenario."""
    if host == "processes":
        from lab.processes.day import unsupported_reason

        if reason := unsupported_reason(scenario):
            raise ScenarioError(f"{name}: {reason}")


def _play(task: Run, results: Results) -> None:
    """Run all seeds with a progress bar; results arrive in the order in which seeds complete."""
    with Progress(*PERCENT_COLUMNS, TimeElapsedColumn(), console=stderr, transient=True) as progress:
        bar = progress.add_task(f"{task.scenario.name}, {task.host}", total=len(task.seeds))
        shares: dict[int, float] = {}

        def advance(seed: int, share: float) -> None:
            """Record the completed share of a seed's run."""
            shares[seed] = share
            progress.update(bar, completed=sum(shares.values()))

        for result in play_all(task, advance):
            advance(result.seed, 1.0)
            results.results.append(result)


def _verdict(result: Result) -> str:
    """Summarize a seed's outcome in one or two words."""
    if result.crashed:
        return "[red]no result[/]"
    if not result.counted:
        return f"[yellow]late by {result.late_ms:.0f} ms[/]"
    if result.broken:
        return f"[red]violated: {', '.join(result.broken)}[/]"
    return "[red]missed[/]" if result.missed else "[green]passed[/]"


def _detail_lines(result: Result) -> list[str]:
    """Format a seed's rule violations and missed expectations, one per line."""
    lines = [
        f"at {violation.at / 1000.0:.2f} s, {violation.rule}: {violation.who}: {violation.what}"
        for violation in result.breaks[:MAX_VIOLATIONS_SHOWN]
    ]
    omitted = sum(result.broken.values()) - len(lines)
    lines += [f"and {omitted} more violations"] if omitted > 0 else []
    lines += [f"{miss.figure} is {miss.got:.4f}, expected {miss.wanted}" for miss in result.missed]
    lines += [result.crashed.strip()] if result.crashed else []
    return [f"seed {result.seed}: {line}" for line in lines]


def _print_results(results: Results) -> None:
    """Print one row per seed, one row per request class, and the violations."""
    stdout.print(f"{results.scenario}, {results.host}: {results.about}", highlight=False)
    stdout.print(_seed_table(results))
    counted = results.counted()
    if counted:
        stdout.print(_class_table(counted))
    for result in results.results:
        for line in _detail_lines(result):
            stdout.print(escape(line), highlight=False, soft_wrap=True)
    for rule in sorted({rule for result in results.results for rule in result.broken}):
        stdout.print(f"{rule}: {RULES[rule]}", highlight=False)


def _seed_table(results: Results) -> Table:
    table = Table("seed", *(title for title, _, _ in SEED_COLUMNS), "rules", **PLAIN_STYLE)
    for result in results.results:
        cells = [
            format(result.figures[key], format_spec) if result.figures else ""
            for _, key, format_spec in SEED_COLUMNS
        ]
        table.add_row(str(result.seed), *cells, _verdict(result))
    return table


def _class_table(counted: list[Result]) -> Table:
    """Build a table of each class's metrics, as means over the seeds that count."""
    table = Table("class", *(title for title, _, _ in CLASS_COLUMNS), **PLAIN_STYLE)

    def mean(figure: str) -> float:
        """Return the mean of a metric over the seeds that count."""
        return sum(result.figures[figure] for result in counted) / len(counted)

    for name in sorted({key.split(".")[1] for key in counted[0].figures if key.startswith("class.")}):
        cells = [format(mean(f"class.{name}.{key}"), format_spec) for _, key, format_spec in CLASS_COLUMNS]
        table.add_row(name, *cells)
    return table


def compare(first: str, second: str) -> ExitCode:
    """Compare two result files seed by seed."""
    from lab.compare import compare as compare_results

    try:
        rows, method = compare_results(read(Path(first)), read(Path(second)))
    except ResultsError as error:
        return report_invalid_input(error)
    stdout.print(f"A: {first}\nB: {second}", highlight=False)
    table = Table(**PLAIN_STYLE)
    for column in ("figure", "A", "spread of A", "B", "spread of B", "B - A", "95% of it", "verdict"):
        table.add_column(column, justify="left" if column in ("figure", "verdict") else "right")
    for row in rows:
        table.add_row(*row)
    stdout.print(table)
    stdout.print(method)
    return ExitCode.SUCCESS


def write_report(results: str, html_file: str) -> ExitCode:
    """Write a self-contained report page from a result file."""
    from lab.report import page

    try:
        text = page(read(Path(results)))
    except ResultsError as error:
        return report_invalid_input(error)
    Path(html_file).write_text(text, encoding="utf-8")
    stdout.print(f"wrote {html_file}", highlight=False)
    return ExitCode.SUCCESS


def list_scenarios() -> ExitCode:
    """Print the shipped scenarios; fails if the installation has none."""
    table = Table("scenario", "about")
    for path in sorted(SHIPPED_SCENARIOS.glob("*.toml")):
        table.add_row(path.stem, load(str(path)).about)
    stdout.print(table)
    return ExitCode.SUCCESS if table.row_count else ExitCode.CHECK_FAILED
