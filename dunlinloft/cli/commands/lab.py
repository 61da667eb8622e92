"""The command group `lab`: simulated and real fleets on this machine, and measurements of them."""

from __future__ import annotations

import sys
from typing import Any

import click


@click.group()
def lab() -> None:
    """Play days of a fleet, in virtual time or with real processes, and look at what came of them."""


@lab.command("run")
@click.argument("scenario")
@click.option("--host", type=click.Choice(["processes", "virtual"]), default="virtual", show_default=True)
@click.option("--seeds", default="1", show_default=True, help="Such as 7, 1-20 or 1,4,7-9.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Seeds at a time.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Save the results here.")
@click.option("--html", "html_file", type=click.Path(dir_okay=False), help="Make a page of them here.")
@click.option("--logs", type=click.Path(file_okay=False), help="Write all that happened to this folder.")
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
    """Play SCENARIO, a file or the name of a shipped one.

    Exit status: 0 where all rules and the file's expectations held, 1 where not, 2 for a bad file.
    """
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.run_scenario(scenario, host, seeds, jobs, json_file, html_file, logs, changes))


@lab.command("up")
@click.option("--controls", default=3, show_default=True, type=click.IntRange(1, 9), help="Control planes.")
@click.option("--nodes", default=4, show_default=True, type=click.IntRange(1, 32), help="Data-plane nodes.")
@click.option("--network", default=77, show_default=True, type=click.IntRange(1, 254), help="N of 127.N.x.y.")
def serve_router_fleet(controls: int, nodes: int, network: int) -> None:
    """Start a router fleet on loopback with stand-ins for model servers, until Ctrl-C."""
    from dunlinloft.cli.handlers import router_fleet

    sys.exit(router_fleet.serve(controls, nodes, network))


@lab.command("compare")
@click.argument("first", type=click.Path(dir_okay=False))
@click.argument("second", type=click.Path(dir_okay=False))
def compare_results(first: str, second: str) -> None:
    """Set the same seeds of two result files side by side, with the spread."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.compare(first, second))


@lab.command("report")
@click.argument("results", type=click.Path(dir_okay=False))
@click.option(
    "--html", "html_file", required=True, type=click.Path(dir_okay=False), help="The page to write."
)
def write_report(results: str, html_file: str) -> None:
    """Make one self-contained page of a result file."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.write_report(results, html_file))


@lab.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of a scenario file."""
    import msgspec

    from lab.scenario import schema

    click.echo(msgspec.json.format(msgspec.json.encode(schema()), indent=2).decode())


@lab.command("members")
@click.option("--size", type=click.IntRange(2), default=200, show_default=True, help="Members.")
@click.option("--seeds", default="1-8", show_default=True)
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True)
@click.option("--only", help="Some experiments, with commas between; all where it is not given.")
@click.option("--core", type=click.Choice(["swim", "plain"]), default="swim", show_default=True)
@click.option("--minutes", type=float, default=10.0, show_default=True, help="Of the long experiments.")
def measure_membership(size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float) -> None:
    """Measure membership in virtual time against its bounds; exit status 1 where one is missed."""
    from dunlinloft.cli.handlers import membership_bounds

    sys.exit(membership_bounds.measure_membership(size, seeds, jobs, only, core, minutes))


@lab.command("scale")
@click.option("--sizes", default="50,100,200,400", show_default=True, help="On sockets; or none.")
@click.option("--virtual-sizes", default="125,250,500,1000", show_default=True, help="Or none.")
@click.option("--seeds", default="1", show_default=True)
@click.option("--seconds", "measured_s", type=click.FloatRange(0.5), default=30.0, show_default=True,
              help="Measured.")  # fmt: skip
@click.option("--settle", "warm_up_s", type=float, default=15.0, show_default=True,
              help="Seconds before, views agreeing.")  # fmt: skip
@click.option("--virtual-seconds", "virtual_measured_s", type=click.FloatRange(0.5), default=30.0,
              show_default=True)  # fmt: skip
@click.option("--virtual-settle", "virtual_warm_up_s", type=float, default=12.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 8), default=3, show_default=True, help="Real ones.")
@click.option("--rate", "rate_per_s", type=click.FloatRange(1.0, 100.0), default=30.0, show_default=True,
              help="Requests a second and node.")  # fmt: skip
@click.option("--per-process", type=click.IntRange(1), default=25, show_default=True, help="Hollow members.")
@click.option("--victims", type=click.IntRange(1), default=4, show_default=True, help="Members that crash.")
@click.option("--target", "target_members", type=float, default=26_000.0, show_default=True,
              help="Members to draw lines to.")  # fmt: skip
@click.option("--minutes", "time_limit_min", type=float, default=30.0, show_default=True,
              help="The run may last.")  # fmt: skip
@click.option("--fleet-key", "fleet_keys", multiple=True, metavar="KEY=JSON",
              help="More of each member's fleet object; {name} and {place} are the member's.")  # fmt: skip
@click.option("--cells", "cell_members", type=click.IntRange(0, 1000), default=0, show_default=True,
              help="Members of a cell at most, with a directory; 0 is one flat fleet.")  # fmt: skip
@click.option("--directory", "directory_processes", type=click.IntRange(1, 60), default=3,
              show_default=True, help="Processes of it.")  # fmt: skip
@click.option("--parts", "partial_views", is_flag=True, help="Views may be of parts of the fleet.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Save all samples here.")
def measure_scale(**options: Any) -> None:
    """Measure what a member costs at several sizes, and draw lines through it.

    Exit status: 0 where all sizes count and no living member was called dead, 1 where not, 2 for what
    the machine can't hold.
    """
    from dunlinloft.cli.handlers import scale

    sys.exit(scale.measure_scale(scale.ScaleOptions(**options)))


@lab.command("capacity")
@click.option("--only", help="Some experiments, with commas between; all where it is not given.")
@click.option("--seeds", help="Such as 1-3, instead of each experiment's own.")
@click.option("--sizes", help="Such as 5,6,7, instead of each experiment's own; then nothing is checked.")
@click.option("--quick", is_flag=True, help="Small sizes and one seed: to see that it works.")
@click.option("--checks/--no-checks", default=True, show_default=True, help="Play the greater sizes too.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Write samples and lines here.")
def measure_capacity(
    only: str | None, seeds: str | None, sizes: str | None, quick: bool, checks: bool, json_file: str | None
) -> None:
    """Measure what one process costs as the fleet grows, and what that comes to at the size to design for.

    Exit status: 0, 1 where a play came to no end, 2 for a name that is not known.
    """
    from dunlinloft.cli.handlers import capacity

    sys.exit(capacity.measure_capacity(only, seeds, sizes, quick, checks, json_file))


@lab.command("list")
def list_scenarios() -> None:
    """Name the scenarios that are shipped."""
    from dunlinloft.cli.handlers import scenarios

    sys.exit(scenarios.list_scenarios())
