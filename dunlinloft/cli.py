"""The command line. What a command needs is imported when it runs: `serve` leads to the node alone."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

SUCCESS, UNKEPT, BAD_FILE = 0, 1, 2

F = TypeVar("F", bound=Callable[..., Any])


def _renamed(context: click.Context, option: click.Parameter, value: str | None) -> None:
    if value is not None:
        raise click.UsageError("--door is called --admin now")


def admin_option(command: F) -> F:
    """Where a node's admin endpoint is; the name that the option once had is told, not taken."""
    old = click.option("--door", hidden=True, expose_value=False, is_eager=True, callback=_renamed)
    new = click.option("--admin", required=True, help="Where a node's `management` listens, as host:port.")
    return old(new(command))


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def main() -> None:
    """dunlinloft: a load-balancing node, its fleet, and the lab that proves them."""


@main.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def serve(config: str | None) -> None:
    """Run a node from CONFIG, or from the file that NODE_CONFIG names."""
    if config is not None:
        os.environ["NODE_CONFIG"] = config
    # The node's process is the same as with `python -m orchidferry`: nothing of this one stays in memory.
    os.execv(sys.executable, [sys.executable, "-B", "-m", "orchidferry"])


@main.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def directory(config: str | None) -> None:
    """Run a process of the directory of cells from CONFIG, or from the file that NODE_CONFIG names."""
    if config is not None:
        os.environ["NODE_CONFIG"] = config
    os.execv(sys.executable, [sys.executable, "-B", "-m", "orchidferry.directory"])


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--directory", "of_directory", is_flag=True, help="It is for a process of the directory.")
def check(config: str, of_directory: bool) -> None:
    """Say all that is wrong with a node's CONFIG, each with its path in the file."""
    from dunlinloft.check import check_file

    problems = check_file(Path(config), of_directory)
    for problem in problems:
        click.echo(f"{config}: {problem}", err=True)
    if problems:
        sys.exit(UNKEPT)
    what = "a process of the directory" if of_directory else "a node"
    click.echo(f"{config}: {what} can be started with it")


@main.group()
def fleet() -> None:
    """Look at a fleet of nodes by way of one node's admin endpoint."""


@fleet.command("members")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_members(admin: str, as_json: bool) -> None:
    """Who is there, and who is not; exit status 1 where views differ or a name is taken twice."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.members(admin, as_json))


@fleet.command("watch")
@admin_option
def fleet_watch(admin: str) -> None:
    """The same, live, until Ctrl-C."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.watch(admin))


@fleet.command("cell")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_cell(admin: str, as_json: bool) -> None:
    """A node's cell and what it knows of its whole service; exit status 1 where the fallback is in force."""
    from dunlinloft import cellscli

    sys.exit(cellscli.cell(admin, as_json))


@fleet.command("directory")
@click.option("--service", default="", help="This service's cells alone.")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_directory(admin: str, service: str, as_json: bool) -> None:
    """The cells that a process of the directory knows; exit status 1 where some are stale."""
    from dunlinloft import cellscli

    sys.exit(cellscli.directory(admin, service, as_json))


@fleet.command("duties")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_duties(admin: str, as_json: bool) -> None:
    """Who holds which duty; exit status 1 where nobody holds one."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.duties(admin, as_json))


@fleet.command("state")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_state(admin: str, as_json: bool) -> None:
    """What the members share, with ages; exit status 1 where a fallback is in force."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.state(admin, as_json))


@fleet.command("ledger")
@click.option("--set", "entries", multiple=True, metavar="KEY=VALUE", help="Such as limit/TENANT=120.")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_ledger(entries: tuple[str, ...], admin: str, as_json: bool) -> None:
    """The fleet's small records; exit status 1 where an entry is not kept."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.ledger(admin, entries, as_json))


@fleet.command("voters")
@click.option("--add", default="", metavar="MEMBER", help="Have this member vote too.")
@click.option("--remove", default="", metavar="MEMBER", help="Have this one vote no more.")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def fleet_voters(add: str, remove: str, admin: str, as_json: bool) -> None:
    """Who votes, and other voters, one at a time; exit status 1 where one is missing or a change fails."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.voters(admin, add, remove, as_json))


@fleet.command("hand-over")
@click.argument("duty")
@click.option("--to", default="", help="The member that should hold it; whoever is next where not given.")
@admin_option
def fleet_hand_over(duty: str, to: str, admin: str) -> None:
    """Have the holder hand a duty over."""
    from dunlinloft import fleetcli

    sys.exit(fleetcli.hand_over(admin, duty, to))


WHY = click.option("--why", default="", help="Kept with who said it and when.")


@main.group()
def release() -> None:
    """Staged releases: begin, watch, halt and take back, by way of the ledger holder's admin endpoint."""


@release.group("start")
def release_start() -> None:
    """Begin a release."""


@release_start.command("servers")
@click.option("--since", default="", metavar="TIME", help="Servers started from then on are new.")
@click.option("--names", default="", metavar="A,B,...", help="These servers are new.")
@click.option("--stages", default="", metavar="1,5,25,50,100", help="Percent of first sends, stage by stage.")
@click.option("--bake", default="", metavar="30s", help="How long each stage is looked at, at least.")
@WHY
@admin_option
def release_start_servers(since: str, names: str, stages: str, bake: str, why: str, admin: str) -> None:
    """Let servers of a new build have traffic in stages.

    TIME is `now`, Unix seconds or ISO 8601. Begin before the first of them starts.
    """
    from dunlinloft import releasecli

    sys.exit(releasecli.start(admin, since, names, stages, bake, why))


@release.command("status")
@admin_option
@click.option("--json", "as_json", is_flag=True, help="All that the endpoint tells.")
def release_status(admin: str, as_json: bool) -> None:
    """How far it is and on what evidence; exit status 1 where it is halted or taken back."""
    from dunlinloft import releasecli

    sys.exit(releasecli.status(admin, as_json))


@release.command("watch")
@admin_option
def release_watch(admin: str) -> None:
    """The same, live, until Ctrl-C."""
    from dunlinloft import releasecli

    sys.exit(releasecli.watch(admin))


@release.command("history")
@admin_option
def release_history(admin: str) -> None:
    """Releases that have ended, how and why."""
    from dunlinloft import releasecli

    sys.exit(releasecli.history(admin))


def _sayer(what: str, help: str) -> None:
    @release.command(what, help=help)
    @WHY
    @admin_option
    def command(why: str, admin: str) -> None:
        from dunlinloft import releasecli

        sys.exit(releasecli.say(admin, what, why))


_sayer("pause", "Stay in this stage; harm is still looked for.")
_sayer("resume", "Go on after a pause or halt.")
_sayer("skip", "Go on to the next stage at once, where no harm was seen.")
_sayer("halt", "Freeze the share.")
_sayer("abort", "Take the new servers back to nothing.")


@main.command("explore")
@click.argument("system", type=click.Choice(["duties", "ledger", "membership", "voters"]))
@click.option("--depth", type=click.IntRange(1), default=40, show_default=True, help="Moves to a state.")
@click.option("--states", type=click.IntRange(1), default=100_000, show_default=True, help="At most.")
@click.option(
    "--walk", "moves", type=click.IntRange(0), default=100_000, show_default=True, help="At random."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the walk.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Write what breaks something here.")
@click.option("--replay", "again", type=click.Path(dir_okay=False), help="Play such a trace instead.")
def explore(
    system: str,
    depth: int,
    states: int,
    moves: int,
    seed: int,
    jobs: int,
    trace: str | None,
    again: str | None,
) -> None:
    """Try all orders of events on the fleet's cores, and walk at random beyond.

    Exit status: 0 where nothing broke, 1 where something did, 2 for a bad file.
    """
    from dunlinloft import explorecli

    if again is not None:
        sys.exit(explorecli.replay_file(system, again))
    sys.exit(explorecli.explore(system, depth, states, seed, moves, jobs, trace))


@main.group()
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
def lab_run(
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
    from dunlinloft import labcli

    sys.exit(labcli.run(scenario, host, seeds, jobs, json_file, html_file, logs, changes))


@lab.command("up")
@click.option("--controls", default=3, show_default=True, type=click.IntRange(1, 9), help="Control planes.")
@click.option("--nodes", default=4, show_default=True, type=click.IntRange(1, 32), help="Data-plane nodes.")
@click.option("--network", default=77, show_default=True, type=click.IntRange(1, 254), help="N of 127.N.x.y.")
def lab_up(controls: int, nodes: int, network: int) -> None:
    """Start a router fleet on loopback with stand-ins for model servers, until Ctrl-C."""
    from dunlinloft.upcli import up

    sys.exit(up(controls, nodes, network))


@lab.command("compare")
@click.argument("first", type=click.Path(dir_okay=False))
@click.argument("second", type=click.Path(dir_okay=False))
def lab_compare(first: str, second: str) -> None:
    """Set the same seeds of two result files side by side, with the spread."""
    from dunlinloft import labcli

    sys.exit(labcli.compare(first, second))


@lab.command("report")
@click.argument("results", type=click.Path(dir_okay=False))
@click.option(
    "--html", "html_file", required=True, type=click.Path(dir_okay=False), help="The page to write."
)
def lab_report(results: str, html_file: str) -> None:
    """Make one self-contained page of a result file."""
    from dunlinloft import labcli

    sys.exit(labcli.report(results, html_file))


@lab.command("schema")
def lab_schema() -> None:
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
def lab_members(size: int, seeds: str, jobs: int, only: str | None, core: str, minutes: float) -> None:
    """Measure membership in virtual time against its bounds; exit status 1 where one is missed."""
    from dunlinloft import labcli

    sys.exit(labcli.members(size, seeds, jobs, only, core, minutes))


@lab.command("scale")
@click.option("--sizes", default="50,100,200,400", show_default=True, help="On sockets; or none.")
@click.option("--virtual-sizes", default="125,250,500,1000", show_default=True, help="Or none.")
@click.option("--seeds", default="1", show_default=True)
@click.option("--seconds", type=click.FloatRange(0.5), default=30.0, show_default=True, help="Measured.")
@click.option(
    "--settle",
    "settle_s",
    type=float,
    default=15.0,
    show_default=True,
    help="Seconds before, views agreeing.",
)
@click.option("--virtual-seconds", type=click.FloatRange(0.5), default=30.0, show_default=True)
@click.option("--virtual-settle", "virtual_settle_s", type=float, default=12.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 8), default=3, show_default=True, help="Real ones.")
@click.option("--rate", "rate_per_s", type=click.FloatRange(1.0, 100.0), default=30.0, show_default=True,
              help="Requests a second and node.")  # fmt: skip
@click.option("--per-process", type=click.IntRange(1), default=25, show_default=True, help="Hollow members.")
@click.option("--victims", type=click.IntRange(1), default=4, show_default=True, help="Members that crash.")
@click.option("--target", type=float, default=26_000.0, show_default=True, help="Members to draw lines to.")
@click.option("--minutes", type=float, default=30.0, show_default=True, help="The run may last.")
@click.option("--fleet-key", "fleet_keys", multiple=True, metavar="KEY=JSON",
              help="More of each member's fleet object; {name} and {place} are the member's.")  # fmt: skip
@click.option("--cells", type=click.IntRange(0, 1000), default=0, show_default=True,
              help="Members of a cell at most, with a directory; 0 is one flat fleet.")  # fmt: skip
@click.option(
    "--directory", type=click.IntRange(1, 60), default=3, show_default=True, help="Processes of it."
)
@click.option("--parts", is_flag=True, help="Views may be of parts of the fleet.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Save all samples here.")
def lab_scale(**options: Any) -> None:
    """Measure what a member costs at several sizes, and draw lines through it.

    Exit status: 0 where all sizes count and no living member was called dead, 1 where not, 2 for what
    the machine can't hold.
    """
    from dunlinloft import scalecli

    sys.exit(scalecli.run(**options))


@lab.command("capacity")
@click.option("--only", help="Some experiments, with commas between; all where it is not given.")
@click.option("--seeds", help="Such as 1-3, instead of each experiment's own.")
@click.option("--sizes", help="Such as 5,6,7, instead of each experiment's own; then nothing is checked.")
@click.option("--quick", is_flag=True, help="Small sizes and one seed: to see that it works.")
@click.option("--checks/--no-checks", default=True, show_default=True, help="Play the greater sizes too.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Write samples and lines here.")
def lab_capacity(
    only: str | None, seeds: str | None, sizes: str | None, quick: bool, checks: bool, json_file: str | None
) -> None:
    """Measure what one process costs as the fleet grows, and what that comes to at the size to design for.

    Exit status: 0, 1 where a play came to no end, 2 for a name that is not known.
    """
    from dunlinloft import capacitycli

    sys.exit(capacitycli.capacity(only, seeds, sizes, quick, checks, json_file))


@lab.command("list")
def lab_list() -> None:
    """Name the scenarios that are shipped."""
    from dunlinloft import labcli

    labcli.list_shipped()


@main.group()
def state() -> None:
    """Look at control planes' data directories; only `begin` changes one."""


@state.command("inspect")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="As one line of JSON.")
def state_inspect(folder: str, as_json: bool) -> None:
    """Say what FOLDER recovers to: view, chain, version, orders remembered, servers known."""
    from dunlinloft import statecli

    sys.exit(statecli.inspect(Path(folder), as_json))


@state.command("verify")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def state_verify(folder: str) -> None:
    """Read every block in FOLDER. Exit status: 0 all whole, 1 a torn end, 2 no state can be read."""
    from dunlinloft import statecli

    sys.exit(statecli.verify(Path(folder)))


@state.command("newest")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
def state_newest(folders: tuple[str, ...]) -> None:
    """Say which of these data directories holds the newest state. Exit status: 2 where none can be read."""
    from dunlinloft import statecli

    sys.exit(statecli.newest([Path(folder) for folder in folders]))


@state.command("begin")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--address", required=True, help="host:port of this replica's internal listener.")
@click.option(
    "--after-epoch", required=True, type=click.IntRange(0), help="The highest epoch in any directory."
)
@click.option("--i-know-what-is-lost", "known", is_flag=True, help="Without it, nothing is changed.")
def state_begin(folder: str, address: str, after_epoch: int, known: bool) -> None:
    """Begin a new epoch from the state in FOLDER, after more disks were lost than may be.

    The process must not run. All other control planes start with empty directories, and copy this state.
    """
    from dunlinloft import statecli

    sys.exit(statecli.begin(Path(folder), address, after_epoch, known))


@main.command("world")
@click.option("--seeds", type=click.IntRange(1), default=10_000, show_default=True, help="So many.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="The first one.")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Processes.")
def world(seeds: int, first: int, jobs: int) -> None:
    """Play the control plane under overlapping troubles in virtual time, by seed.

    Prints the shortest schedule of each seed that breaks a rule. Exit status: 0 where none does, 1 else.
    """
    from dunlinloft import worldcli

    sys.exit(worldcli.play(range(first, first + seeds), jobs))
