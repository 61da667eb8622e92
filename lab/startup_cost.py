"""Measures the start-up cost of each of the three programs: time, imported modules, peak memory.

Run as `python -m lab.startup_cost [--json FILE]`. Each program's modules are imported in fresh processes with
the program's own flags; the best of `REPEATS` starts counts. Figures are only comparable on one idle machine.
`tests/test_startup_imports.py` checks the sets of imported modules, which do not depend on the machine.
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
# The libraries of this interpreter; deployments have the same versions elsewhere (`target/deps`).
LIBRARIES = sysconfig.get_path("platlib")

# Packages of this project under their current and planned names; never counted as a dependency.
OWN_PACKAGES = frozenset(
    {"dunlin", "dunlinloft", "fleet", "lab", "nickelbridge", "orchidferry", "simulation"}
)


@dataclass(frozen=True, slots=True)
class Program:
    """A program: its interpreter flags, and statements that import everything loaded when it serves."""

    flags: tuple[str, ...]
    imports: tuple[str, ...]


# The only place that names the programs' modules. The two planes import in `load`, once settings are read.
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

# Executed around the statements. The peak is read from /proc: `ru_maxrss` would be at least that of the
# parent, whose memory the child shares until its exec. `os._exit` skips the interpreter's shutdown.
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
    """Best of several starts; `modules` are the full names of imported modules outside this project."""

    wall_ms: float  # from spawning the process until the child has exited
    import_ms: float  # the imports alone
    module_count: int  # all of `sys.modules`, including the project's and the interpreter's modules
    peak_rss_kb: int
    modules: tuple[str, ...]


def _environment() -> dict[str, str]:
    """Return a child's environment, with only this tree and the programs' libraries on the module path."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    return inherited | {"PYTHONPATH": os.pathsep.join((str(ROOT), LIBRARIES))}


def measured(program: Program, flags: Sequence[str] | None = None) -> Cost:
    """Measure one start in a fresh process. Raises `CalledProcessError` if an import fails."""
    command = [sys.executable, *(program.flags if flags is None else flags), "-c"]
    command.append(_BEFORE + "\n".join(program.imports) + _AFTER)
    began = time.perf_counter()
    completed = subprocess.run(command, cwd=ROOT, env=_environment(), stdout=subprocess.PIPE, check=True)
    wall_ms = 1000.0 * (time.perf_counter() - began)
    import_ms, module_count, peak_rss_kb, names = json.loads(completed.stdout)
    foreign = tuple(name for name in names if name.partition(".")[0] not in OWN_PACKAGES)
    return Cost(round(wall_ms, 2), round(import_ms, 2), module_count, peak_rss_kb, foreign)


def imported(program: Program) -> set[str]:
    """Return the top-level modules outside this project that a program imports.

    The child runs without `site`, whose imports depend on the environment.
    """
    return {name.partition(".")[0] for name in measured(program, (*program.flags, "-S")).modules}


def best(program: Program, repeats: int = REPEATS) -> Cost:
    """Return the minimum of each figure over `repeats` starts, after one that writes byte code."""
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
    """Print the figures and, if a file is given, write them with the lists of modules."""
    parser = argparse.ArgumentParser(prog="python -m lab.startup_cost")
    parser.add_argument("--json", type=Path, help="write the figures and the module lists to this file")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    options = parser.parse_args(arguments)
    costs = {name: best(program, options.repeats) for name, program in PROGRAMS.items()}
    for name, cost in costs.items():
        print(
            f"{name}: {cost.wall_ms:.1f} ms in total, {cost.import_ms:.1f} ms of imports, "
            f"{cost.module_count} modules ({len(cost.modules)} external imports), "
            f"{cost.peak_rss_kb} kB peak"
        )
    if options.json is not None:
        report = {name: asdict(cost) for name, cost in costs.items()}
        options.json.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
