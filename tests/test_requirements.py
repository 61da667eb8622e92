"""pyproject.toml is the single source of pinned versions; the requirements files hold subsets of them."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from dunlinloft.cli.root import main

ROOT = Path(__file__).parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
EXTRAS: dict[str, list[str]] = PROJECT["optional-dependencies"]
# The node's dependencies that the router fleet needs as well.
SHARED_WITH_ROUTER = ("msgspec", "uvloop")


def _read_pins(file: str) -> list[str]:
    """Return the sorted requirements in a file, without comments."""
    lines = (line.partition("#")[0].strip() for line in (ROOT / file).read_text().splitlines())
    return sorted(line for line in lines if line)


def test_the_balancers_requirements_are_the_projects_dependencies() -> None:
    assert _read_pins("requirements.txt") == sorted(PROJECT["dependencies"])


def test_the_router_fleets_requirements_are_its_extra_and_the_shared_dependencies() -> None:
    shared = [pin for pin in PROJECT["dependencies"] if pin.split("==")[0] in SHARED_WITH_ROUTER]
    assert _read_pins("requirements-system.txt") == sorted([*EXTRAS["router"], *shared])


def test_there_are_no_other_requirements_files() -> None:
    found = sorted(path.name for path in ROOT.glob("requirements*.txt"))
    assert found == ["requirements-system.txt", "requirements.txt"]


@pytest.mark.parametrize("extra", EXTRAS)
def test_every_requirement_of_an_extra_is_pinned_and_listed_once(extra: str) -> None:
    own_pins = [requirement for requirement in EXTRAS[extra] if not requirement.startswith("dunlinloft[")]
    assert all("==" in requirement for requirement in own_pins)
    others = [
        requirement.split("==")[0] for name, pins in EXTRAS.items() if name != extra for requirement in pins
    ]
    others += [requirement.split("==")[0] for requirement in PROJECT["dependencies"]]
    assert not {requirement.split("==")[0] for requirement in own_pins} & set(others)


def test_the_command_line_has_the_router_fleets_libraries() -> None:
    assert "world" in main.commands
    assert "dunlinloft[router]" in EXTRAS["lab"]
