"""No program imports more of others' modules, before it serves, than those recorded.

The node's start time and memory are priced; `python -m lab.startup_cost` measures them.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from lab.startup_cost import OWN_PACKAGES, PROGRAMS, imported

FIXTURE = Path(__file__).parent / "fixtures" / "imported-modules.json"
RECORDED: dict[str, list[str]] = json.loads(FIXTURE.read_text(encoding="utf-8"))


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_imports_nothing_that_it_did_not(program: str) -> None:
    assert sorted(imported(PROGRAMS[program]) - set(RECORDED[program])) == []


@pytest.mark.parametrize("program", PROGRAMS)
def test_no_module_of_the_project_is_on_a_recorded_list(program: str) -> None:
    assert not OWN_PACKAGES & set(RECORDED[program])
