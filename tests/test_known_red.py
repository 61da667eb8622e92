"""KNOWN-RED.txt passes over what it names and nothing else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
def test_good(): pass
def test_red(): assert False
def test_other(): assert False
"""
RED = "tests/test_it.py::test_red | it is red | 21"
OTHER = "tests/test_it.py::test_other | it too | 22"


def play(path: Path, known: str | None, *args: str) -> tuple[int, str]:
    """Run pytest on three tests, of which two fail; its status and what it printed."""
    folder = path / "tests"
    folder.mkdir()
    (folder / "__init__.py").touch()
    (folder / "test_it.py").write_text(TESTS)
    (folder / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if known is not None:
        (path / "KNOWN-RED.txt").write_text(known)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args]
    done = subprocess.run(command, cwd=path, capture_output=True, text=True, timeout=120)
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("known", [None, "", "# nothing\n\n"])
def test_without_entries_failures_fail_the_run(known: str | None, tmp_path: Path) -> None:
    assert play(tmp_path, known)[0] == 1


@pytest.mark.parametrize("how", [(), ("-n", "2")])
def test_what_is_named_runs_is_printed_and_alone_does_not_fail_the_run(
    how: tuple[str, ...], tmp_path: Path
) -> None:
    status, said = play(tmp_path, f"{RED}\n{OTHER}\n", *how)
    assert status == 0
    assert "KNOWN-RED tests/test_it.py::test_red: it is red (21)" in said
    assert "1 passed, 2 xfailed" in said


@pytest.mark.parametrize("how", [(), ("-n", "2")])
def test_a_failure_that_is_not_named_fails_the_run(how: tuple[str, ...], tmp_path: Path) -> None:
    assert play(tmp_path, RED, *how)[0] == 1


def test_a_parallel_run_tells_of_an_entry_that_is_no_good(tmp_path: Path) -> None:
    known = f"{RED}\n{OTHER}\ntests/test_it.py::test_good | c | 23\n"
    status, said = play(tmp_path, known, "-n", "2")
    assert status == 1
    assert "test_good does not fail" in said


@pytest.mark.parametrize(
    ("known", "said"),
    [
        (f"{RED}\n{OTHER}\na::b | c | d\ne::f | g | h\n", "4 entries, at most 3 are allowed"),
        (f"{RED}\ntests/test_it.py::test_other | 22\n", "line 2: expected 'test | cause | issue'"),
        (f"{RED}\ntests/test_it.py::test_other |  | 22\n", "line 2: expected 'test | cause | issue'"),
        (f"{RED}\n{RED}\n", "line 2: tests/test_it.py::test_red is named twice"),
        (f"{RED}\n{OTHER}\ntests/test_it.py::test_gone | c | 23\n", "test_gone names no test"),
        (f"{RED}\n{OTHER}\ntests/test_it.py::test_good | c | 23\n", "test_good does not fail"),
    ],
    ids=["too many", "malformed", "empty", "twice", "no test", "passes"],
)
def test_a_file_that_is_no_good_fails_the_run(known: str, said: str, tmp_path: Path) -> None:
    status, printed = play(tmp_path, known)
    assert status != 0
    assert said in printed


def test_what_fails_at_times_may_pass_and_is_printed_either_way(tmp_path: Path) -> None:
    sometimes = RED.replace("it is red", "at times: why")
    known = f"{sometimes}\n{OTHER}\ntests/test_it.py::test_good | at times: who | 23\n"
    status, said = play(tmp_path, known)
    assert status == 0
    assert "KNOWN-RED tests/test_it.py::test_red: at times: why (21)" in said
    assert "KNOWN-RED tests/test_it.py::test_good: passed this time, at times: who (23)" in said


def test_a_chosen_part_of_the_tests_need_not_have_all_that_is_named(tmp_path: Path) -> None:
    assert play(tmp_path, f"{RED}\n{OTHER}\n", "-k", "good")[0] == 0
