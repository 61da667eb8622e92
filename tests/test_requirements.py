"""pyproject.toml is the one list of versions: the deployments' files hold parts of it."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from dunlinloft.cli.root import main

ROOT = Path(__file__).parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
EXTRAS: dict[str, list[str]] = PROJECT["optional-dependencies"]
# Of the node's libraries, those that the router fleet runs on as well.
SHARED_WITH_ROUTER = ("msgspec", "uvloop")


def _pins(file: str) -> list[str]:
    """The requirements in a file, without comments, sorted."""
    lines = (line.partition("#")[0].strip() for line in (ROOT / file).read_text().splitlines())
    return sorted(line for line in lines if line)


def test_the_balancers_requirements_are_the_projects_dependencies() -> None:
    assert _pins("requirements.txt") == sorted(PROJECT["dependencies"])


def test_the_router_fleets_requirements_are_its_extra_and_what_it_shares_with_the_node() -> None:
    shared = [pin for pin in PROJECT["dependencies"] if pin.split("==")[0] in SHARED_WITH_ROUTER]
    assert _pins("requirements-system.txt") == sorted([*EXTRAS["router"], *shared])


def test_there_are_no_further_lists() -> None:
    found = sorted(path.name for path in ROOT.glob("requirements*.txt"))
    assert found == ["requirements-system.txt", "requirements.txt"]


@pytest.mark.parametrize("extra", EXTRAS)
def test_every_version_is_pinned_and_in_one_place(extra: str) -> None:
    own = [each for each in EXTRAS[extra] if not each.startswith("dunlinloft[")]
    assert all("==" in each for each in own)
    others = [each.split("==")[0] for name, pins in EXTRAS.items() if name != extra for each in pins]
    others += [each.split("==")[0] for each in PROJECT["dependencies"]]
    assert not {each.split("==")[0] for each in own} & set(others)


def test_the_command_line_has_the_router_fleets_libraries() -> None:
    assert "world" in main.commands
    assert "dunlinloft[router]" in EXTRAS["lab"]
