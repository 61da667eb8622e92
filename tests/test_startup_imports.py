"""Programs import no third-party or standard library module at startup that is not on the recorded list.

A node's start time and memory have a price; `python -m lab.startup_cost` measures them.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from lab.startup_cost import OWN_PACKAGES, PROGRAMS, imported

FIXTURE = Path(__file__).parent / "fixtures" / "imported-modules.json"
RECORDED: dict[str, list[str]] = json.loads(FIXTURE.read_text(encoding="utf-8"))


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_imports_only_recorded_modules(program: str) -> None:
    assert sorted(imported(PROGRAMS[program]) - set(RECORDED[program])) == []


@pytest.mark.parametrize("program", PROGRAMS)
def test_the_recorded_list_has_no_module_of_the_project(program: str) -> None:
    assert not OWN_PACKAGES & set(RECORDED[program])
