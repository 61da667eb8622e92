"""The KNOWN-RED.txt plugin tolerates the listed failures and no others."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SAMPLE_TESTS = """
def test_good(): pass
def test_red(): assert False
def test_other(): assert False
"""
RED_ENTRY = "tests/test_it.py::test_red | known fault | 21"
OTHER_ENTRY = "tests/test_it.py::test_other | another fault | 22"


@dataclass(frozen=True)
class PytestRun:
    """The exit code and combined output of a pytest run."""

    exit_code: int
    output: str


def run_pytest(path: Path, known_red: str | None, *args: str) -> PytestRun:
    """Run pytest on three tests, two of which fail, with the given content of KNOWN-RED.txt."""
    folder = path / "tests"
    folder.mkdir()
    (folder / "__init__.py").touch()
    (folder / "test_it.py").write_text(SAMPLE_TESTS)
    (folder / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if known_red is not None:
        (path / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args]
    result = subprocess.run(command, cwd=path, capture_output=True, text=True, timeout=120)
    return PytestRun(result.returncode, result.stdout + result.stderr)


@pytest.mark.parametrize("known_red", [None, "", "# nothing\n\n"])
def test_without_entries_failures_fail_the_run(known_red: str | None, tmp_path: Path) -> None:
    assert run_pytest(tmp_path, known_red).exit_code == 1


@pytest.mark.parametrize("options", [(), ("-n", "2")])
def test_listed_failures_are_printed_and_do_not_fail_the_run(
    options: tuple[str, ...], tmp_path: Path
) -> None:
    run = run_pytest(tmp_path, f"{RED_ENTRY}\n{OTHER_ENTRY}\n", *options)
    assert run.exit_code == 0
    assert "KNOWN-RED tests/test_it.py::test_red: known fault (21)" in run.output
    assert "1 passed, 2 xfailed" in run.output


@pytest.mark.parametrize("options", [(), ("-n", "2")])
def test_an_unlisted_failure_fails_the_run(options: tuple[str, ...], tmp_path: Path) -> None:
    assert run_pytest(tmp_path, RED_ENTRY, *options).exit_code == 1


def test_a_parallel_run_reports_an_entry_whose_test_passes(tmp_path: Path) -> None:
    known_red = f"{RED_ENTRY}\n{OTHER_ENTRY}\ntests/test_it.py::test_good | c | 23\n"
    run = run_pytest(tmp_path, known_red, "-n", "2")
    assert run.exit_code == 1
    assert "test_good does not fail" in run.output


@pytest.mark.parametrize(
    ("known_red", "problem"),
    [
        (f"{RED_ENTRY}\n{OTHER_ENTRY}\na::b | c | d\ne::f | g | h\n", "4 entries, at most 3 are allowed"),
        (f"{RED_ENTRY}\ntests/test_it.py::test_other | 22\n", "line 2: expected 'test | cause | issue'"),
        (f"{RED_ENTRY}\ntests/test_it.py::test_other |  | 22\n", "line 2: expected 'test | cause | issue'"),
        (f"{RED_ENTRY}\n{RED_ENTRY}\n", "line 2: tests/test_it.py::test_red is named twice"),
        (f"{RED_ENTRY}\n{OTHER_ENTRY}\ntests/test_it.py::test_gone | c | 23\n", "test_gone names no test"),
        (f"{RED_ENTRY}\n{OTHER_ENTRY}\ntests/test_it.py::test_good | c | 23\n", "test_good does not fail"),
    ],
    ids=["too many", "malformed", "empty", "twice", "no test", "passes"],
)
def test_an_invalid_file_fails_the_run(known_red: str, problem: str, tmp_path: Path) -> None:
    run = run_pytest(tmp_path, known_red)
    assert run.exit_code != 0
    assert problem in run.output


def test_an_intermittent_failure_may_pass_and_is_printed_either_way(tmp_path: Path) -> None:
    intermittent = RED_ENTRY.replace("known fault", "at times: why")
    known_red = f"{intermittent}\n{OTHER_ENTRY}\ntests/test_it.py::test_good | at times: who | 23\n"
    run = run_pytest(tmp_path, known_red)
    assert run.exit_code == 0
    assert "KNOWN-RED tests/test_it.py::test_red: at times: why (21)" in run.output
    assert "KNOWN-RED tests/test_it.py::test_good: passed this time, at times: who (23)" in run.output


def test_a_run_of_selected_tests_may_leave_out_listed_ones(tmp_path: Path) -> None:
    assert run_pytest(tmp_path, f"{RED_ENTRY}\n{OTHER_ENTRY}\n", "-k", "good").exit_code == 0
