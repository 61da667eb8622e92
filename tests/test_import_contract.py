"""The import contracts in pyproject.toml hold, and a forbidden import breaks the contract that covers it."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LINT_IMPORTS = Path(sys.executable).with_name("lint-imports")
PACKAGES = ("dunlinloft", "lab")

PROGRAMS = "The command line is on top"
LAYERS = "Every module of dunlinloft has its layer"
PURE = "The pure packages do no I/O"
NODE = "The node imports the balancer and the fleet"
LIGHT = "What runs on every edge machine"
CLI = "Commands call handlers"
ACYCLIC = "No package's modules import each other in a circle"


def lint_imports(folder: Path) -> tuple[int, str]:
    """Check the contracts on the packages in a folder; return the exit status and the output as one line."""
    result = subprocess.run(
        [LINT_IMPORTS, "--no-cache"], cwd=folder, capture_output=True, text=True, timeout=60
    )
    return result.returncode, " ".join((result.stdout + result.stderr).split())


@pytest.fixture
def source_tree(tmp_path: Path) -> Path:
    """A copy of the packages and their import contracts."""
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    for package in PACKAGES:
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    return tmp_path


def test_the_source_tree_keeps_all_contracts() -> None:
    status, output = lint_imports(ROOT)
    assert status == 0, output
    assert " 0 broken" in output


@pytest.mark.parametrize(
    ("importer", "imported", "broken"),
    [
        ("lab/__init__.py", "dunlinloft.cli", PROGRAMS),
        ("dunlinloft/controlplane/__init__.py", "lab", PROGRAMS),
        ("dunlinloft/dataplane/__init__.py", "dunlinloft.controlplane", PROGRAMS),
        ("dunlinloft/controlplane/__init__.py", "dunlinloft.node", PROGRAMS),
        ("dunlinloft/coordination/__init__.py", "dunlinloft.controlplane", LAYERS),
        ("dunlinloft/coordination/__init__.py", "dunlinloft.configuration", LAYERS),
        ("dunlinloft/balancer/__init__.py", "dunlinloft.fleet", LAYERS),
        ("dunlinloft/fleet/__init__.py", "dunlinloft.balancer", LAYERS),
        ("dunlinloft/transport/__init__.py", "dunlinloft.coordination", LAYERS),
        ("dunlinloft/module_without_a_layer.py", "dunlinloft.settings", LAYERS),
        ("dunlinloft/coordination/__init__.py", "time", PURE),
        ("dunlinloft/fleet/__init__.py", "asyncio", PURE),
        ("dunlinloft/balancer/__init__.py", "dunlinloft.transport", PURE),
        ("dunlinloft/node/__init__.py", "dunlinloft.coordination", NODE),
        ("dunlinloft/dataplane/__init__.py", "dunlinloft.validation", LIGHT),
        ("dunlinloft/node/__init__.py", "pydantic", LIGHT),
        ("dunlinloft/cli/exit_codes.py", "dunlinloft.cli.root", CLI),
    ],
)
def test_a_forbidden_import_breaks_its_contract(
    importer: str, imported: str, broken: str, source_tree: Path
) -> None:
    with (source_tree / importer).open("a") as module:
        module.write(f"\nimport {imported}\n")
    status, output = lint_imports(source_tree)
    assert status == 1, output
    assert broken in output.partition("Broken contracts")[2]


def test_an_import_cycle_breaks_the_acyclic_contract(source_tree: Path) -> None:
    package = source_tree / "dunlinloft" / "controlplane"
    (package / "first.py").write_text("import dunlinloft.controlplane.second\n")
    (package / "second.py").write_text("import dunlinloft.controlplane.first\n")
    status, output = lint_imports(source_tree)
    assert status == 1, output
    assert ACYCLIC in output.partition("Broken contracts")[2]
