"""What each of the three programs costs before it serves: time, imported modules, peak memory.

Run as `python -m lab.startup_cost [--json FILE]`. Each program's modules are imported in fresh processes with
the program's own flags, the best of `REPEATS` counts. Figures are for comparison on one idle machine only.
`tests/test_startup_imports.py` holds the sets of imported modules, which do not depend on the machine.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import sysconfig
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

REPEATS = 10
ROOT = Path(__file__).resolve().parent.parent
# The libraries of this interpreter; deployments have the same releases elsewhere (`target/deps`).
LIBRARIES = sysconfig.get_path("platlib")

# Packages of this project, as they are called now and as they will be: never counted as a dependency.
OWN_PACKAGES = frozenset(
    {"dunlin", "dunlinloft", "fleet", "lab", "nickelbridge", "orchidferry", "simulation"}
)


@dataclass(frozen=True, slots=True)
class Program:
    """A program: its interpreter's flags, and the statements that import what it has when it serves."""

    flags: tuple[str, ...]
    imports: tuple[str, ...]


# The one place that names the programs' modules. The two planes import in `load`, once settings are read.
PROGRAMS: dict[str, Program] = {
    "node": Program(("-B",), ("import dunlinloft.node.__main__",)),
    "data-plane": Program(
        ("-S",),
        (
            "import dunlinloft.dataplane.__main__",
            "import dunlinloft.transport.program",
            "from dunlinloft.transport.aiohttp_import import import_aiohttp",
            "import_aiohttp()",
            "import dunlinloft.dataplane.process",
            "import uvloop",
        ),
    ),
    "control-plane": Program(
        ("-S",),
        (
            "import dunlinloft.controlplane.__main__",
            "import dunlinloft.transport.program",
            "import dunlinloft.controlplane.process",
            "import uvloop",
        ),
    ),
}

# Run around the statements. The peak is read from /proc: `ru_maxrss` would be at least that of the parent,
# whose memory the child shares until its exec. `os._exit` leaves the tear-down out.
_BEFORE = """
import sys, time
present = set(sys.modules)
began = time.perf_counter()
"""
_AFTER = """
import_ms = 1000.0 * (time.perf_counter() - began)
names = sorted(set(sys.modules) - present)
count = len(sys.modules)
import json, os
with open("/proc/self/status") as status:
    peak_kb = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
print(json.dumps([import_ms, count, peak_kb, names]), flush=True)
os._exit(0)
"""


@dataclass(frozen=True, slots=True)
class Cost:
    """Best of several starts; `modules` are those of others, by full name, that the imports brought."""

    wall_ms: float  # from the spawn of the process until all is imported
    import_ms: float  # of that, the imports alone
    module_count: int  # in `sys.modules`, the project's own and the interpreter's included
    peak_rss_kb: int
    modules: tuple[str, ...]


def _environment() -> dict[str, str]:
    """The environment of a child: nothing but this tree and the programs' libraries on its path."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    return kept | {"PYTHONPATH": os.pathsep.join((str(ROOT), LIBRARIES))}


def measured(program: Program, flags: Sequence[str] | None = None) -> Cost:
    """One start in a fresh process. Raises `CalledProcessError` where an import fails."""
    command = [sys.executable, *(program.flags if flags is None else flags), "-c"]
    command.append(_BEFORE + "\n".join(program.imports) + _AFTER)
    began = time.perf_counter()
    done = subprocess.run(command, cwd=ROOT, env=_environment(), stdout=subprocess.PIPE, check=True)
    wall_ms = 1000.0 * (time.perf_counter() - began)
    import_ms, module_count, peak_rss_kb, names = json.loads(done.stdout)
    foreign = tuple(name for name in names if name.partition(".")[0] not in OWN_PACKAGES)
    return Cost(round(wall_ms, 2), round(import_ms, 2), module_count, peak_rss_kb, foreign)


def imported(program: Program) -> set[str]:
    """The top-level modules of others that a program's imports bring.

    Started without `site`, as what that imports is a matter of the environment.
    """
    return {name.partition(".")[0] for name in measured(program, (*program.flags, "-S")).modules}


def best(program: Program, repeats: int = REPEATS) -> Cost:
    """The least of each figure over so many starts, after one that writes byte code."""
    measured(program, tuple(flag for flag in program.flags if flag != "-B"))
    costs = [measured(program) for _ in range(repeats)]
    return Cost(
        min(cost.wall_ms for cost in costs),
        min(cost.import_ms for cost in costs),
        min(cost.module_count for cost in costs),
        min(cost.peak_rss_kb for cost in costs),
        costs[0].modules,
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the figures, and write them with the lists of modules where a file is named."""
    parser = argparse.ArgumentParser(prog="python -m lab.startup_cost")
    parser.add_argument("--json", type=Path, help="write the figures and the lists of modules here")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    options = parser.parse_args(arguments)
    costs = {name: best(program, options.repeats) for name, program in PROGRAMS.items()}
    for name, cost in costs.items():
        print(
            f"{name}: {cost.wall_ms:.1f} ms in all, {cost.import_ms:.1f} ms of imports, "
            f"{cost.module_count} modules ({len(cost.modules)} of others imported), "
            f"{cost.peak_rss_kb} kB at the peak"
        )
    if options.json is not None:
        found = {name: asdict(cost) for name, cost in costs.items()}
        options.json.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
