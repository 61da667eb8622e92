"""The command group `lab`: simulated and real fleets on this machine, and measurements of them."""

from __future__ import annotations

import sys
from typing import Any

import click


@click.group()
def lab() -> None:
    """Run and measure fleets, in virtual time or as real processes."""


@lab.command("run")
@click.argument("scenario")
@click.option("--host", type=click.Choice(["processes", "virtual"]), default="virtual", show_default=True)
@click.option("--seeds", default="1", show_default=True, help="Such as 7, 1-20 or 1,4,7-9.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Parallel seeds.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Write the results here.")
@click.option("--html", "html_file", type=click.Path(dir_okay=False), help="Write a report page here.")
@click.option("--logs", type=click.Path(file_okay=False), help="Write event logs to this folder.")
@click.option("--set", "changes", multiple=True, metavar="PATH=VALUE", help="Such as nodes.count=50.")
def run_scenario(
    scenario: str,
    host: str,
    seeds: str,
    jobs: int,
    json_file: str | None,
    html_file: str | None,
    logs: str | None,
    changes: tuple[str, ...],
) -> None:
    """Run SCENARIO, a file or the name of a shipped scenario.

    Exit status: 0 if all rules and the file's expectations hold, 1 if not, 2 for an invalid file.
    """
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.run_scenario(scenario, host, seeds, jobs, json_file, html_file, logs, changes))


@lab.command("up")
@click.option("--controls", default=3, show_default=True, type=click.IntRange(1, 9), help="Control planes.")
@click.option("--nodes", default=4, show_default=True, type=click.IntRange(1, 32), help="Data-plane nodes.")
@click.option("--network", default=77, show_default=True, type=click.IntRange(1, 254), help="N of 127.N.x.y.")
def serve_router_fleet(controls: int, nodes: int, network: int) -> None:
    """Run a router fleet on loopback with simulated model servers, until Ctrl-C."""
    from dunlinloft.cli.handlers import router_fleet

    sys.exit(router_fleet.serve(controls, nodes, network))


@lab.command("compare")
@click.argument("first", type=click.Path(dir_okay=False))
@click.argument("second", type=click.Path(dir_okay=False))
def compare_results(first: str, second: str) -> None:
    """Compare two result files seed by seed, with the spread."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.compare(first, second))


@lab.command("report")
@click.argument("results", type=click.Path(dir_okay=False))
@click.option(
    "--html", "html_file", required=True, type=click.Path(dir_okay=False), help="The page to write."
)
def write_report(results: str, html_file: str) -> None:
    """Write a self-contained report page from a result file."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.write_report(results, html_file))


@lab.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of a scenario file."""
    import msgspec

    from lab.scenario import schema

    click.echo(msgspec.json.format(msgspec.json.encode(schema()), indent=2).decode())


@lab.command("members")
@click.option("--size", type=click.IntRange(2), default=200, show_default=True, help="Number of members.")
@click.option("--seeds", default="1-8", show_default=True)
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True)
@click.option("--only", help="Comma-separated experiments; all by default.")
@click.option("--core", type=click.Choice(["swim", "plain"]), default="swim", show_default=True)
@click.option(
    "--minutes", type=float, default=10.0, show_default=True, help="Duration of the long experiments."
)
def measure_membership(size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float) -> None:
    """Measure membership in virtual time against its bounds; exit status 1 if one is missed."""
    from dunlinloft.cli.handlers import membership_bounds

    sys.exit(membership_bounds.measure_membership(size, seeds, jobs, only, core, minutes))


@lab.command("scale")
@click.option("--sizes", default="50,100,200,400", show_default=True, help="Fleet sizes on sockets, or none.")
@click.option(
    "--virtual-sizes",
    default="125,250,500,1000",
    show_default=True,
    help="Fleet sizes in virtual time, or none.",
)
@click.option("--seeds", default="1", show_default=True)
@click.option("--seconds", "measured_s", type=click.FloatRange(0.5), default=30.0, show_default=True,
              help="Measured time.")  # fmt: skip
@click.option("--settle", "warm_up_s", type=float, default=15.0, show_default=True,
              help="Warm-up in seconds once views agree.")  # fmt: skip
@click.option("--virtual-seconds", "virtual_measured_s", type=click.FloatRange(0.5), default=30.0,
              show_default=True)  # fmt: skip
@click.option("--virtual-settle", "virtual_warm_up_s", type=float, default=12.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 8), default=3, show_default=True, help="Real nodes.")
@click.option("--rate", "rate_per_s", type=click.FloatRange(1.0, 100.0), default=30.0, show_default=True,
              help="Requests per second and node.")  # fmt: skip
@click.option(
    "--per-process",
    type=click.IntRange(1),
    default=25,
    show_default=True,
    help="Membership-only members per process.",
)
@click.option("--victims", type=click.IntRange(1), default=4, show_default=True, help="Members that crash.")
@click.option("--target", "target_members", type=float, default=26_000.0, show_default=True,
              help="Members to extrapolate to.")  # fmt: skip
@click.option("--minutes", "time_limit_min", type=float, default=30.0, show_default=True,
              help="Time limit of the run.")  # fmt: skip
@click.option("--fleet-key", "fleet_keys", multiple=True, metavar="KEY=JSON",
              help="Extra key of each member's `fleet`; {name} and {place} are filled in.")  # fmt: skip
@click.option("--cells", "cell_members", type=click.IntRange(0, 1000), default=0, show_default=True,
              help="Maximum members per cell; 0 is one flat fleet.")  # fmt: skip
@click.option("--directory", "directory_processes", type=click.IntRange(1, 60), default=3,
              show_default=True, help="Directory processes.")  # fmt: skip
@click.option("--parts", "partial_views", is_flag=True, help="Views may cover parts of the fleet.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Write all samples here.")
def measure_scale(**options: Any) -> None:
    """Measure the cost of a member at several fleet sizes and fit lines to it.

    Exit status: 0 if all samples count, every crash was detected and no live member was declared dead, 1 if
    not, 2 for options that are invalid or exceed the machine.
    """
    from dunlinloft.cli.handlers import scale

    sys.exit(scale.measure_scale(scale.ScaleOptions(**options)))


@lab.command("capacity")
@click.option("--only", help="Comma-separated experiments; all by default.")
@click.option("--seeds", help="Such as 1-3; by default each experiment's own.")
@click.option("--sizes", help="Such as 5,6,7; by default each experiment's own. Disables checks.")
@click.option("--quick", is_flag=True, help="Small sizes and one seed, as a smoke test.")
@click.option("--checks/--no-checks", default=True, show_default=True, help="Run the larger check sizes too.")
@click.option(
    "--json", "json_file", type=click.Path(dir_okay=False), help="Write samples and fitted lines here."
)
def measure_capacity(
    only: str | None, seeds: str | None, sizes: str | None, quick: bool, checks: bool, json_file: str | None
) -> None:
    """Measure the cost of one process as the fleet grows, extrapolated to the target size.

    Exit status: 0 if all runs completed, 1 if one did not, 2 for an unknown name or an invalid option.
    """
    from dunlinloft.cli.handlers import capacity

    sys.exit(capacity.measure_capacity(only, seeds, sizes, quick, checks, json_file))


@lab.command("list")
def list_scenarios() -> None:
    """List the shipped scenarios."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.list_scenarios())
