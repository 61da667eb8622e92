"""KNOWN-RED.txt: tests that fail because of a known fault that is not repaired yet.

They run and are printed, and their failures alone don't fail the run. The file is a debt with a limit: an
entry too many, a malformed one, one that names no test or a test that passes fails the run. An intermittent
failure, whose cause was not found, is listed with a cause that begins with `at times:`; its test may pass.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

MAX_ENTRIES = 3
INTERMITTENT_PREFIX = "at times:"
ENTRY_FORMAT = "'test | cause | issue'"


class KnownRedError(Exception):
    """The file is invalid; the text names the line and what was expected."""


@dataclass
class KnownRed:
    """An entry, and the outcome of its test."""

    line: int
    test: str
    cause: str
    issue: str
    collected: bool = False
    failed: bool = False

    @property
    def intermittent(self) -> bool:
        """Whether its test may pass."""
        return self.cause.startswith(INTERMITTENT_PREFIX)


def read_known_red(text: str) -> dict[str, KnownRed]:
    """The entries by test; comments and blank lines are skipped. Raises `KnownRedError`."""
    entries: dict[str, KnownRed] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(f"line {number}: expected {ENTRY_FORMAT}, got {line!r:.60}")
        test, cause, issue = fields
        if test in entries:
            raise KnownRedError(f"line {number}: {test} is named twice")
        entries[test] = KnownRed(number, test, cause, issue)
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{len(entries)} entries, at most {MAX_ENTRIES} are allowed")
    return entries


class KnownRedPlugin:
    """Reports listed failures as expected ones, and any other finding about the entries as an error."""

    def __init__(self, entries: dict[str, KnownRed]) -> None:
        self._entries = entries
        self._all_selected = True  # whether no test was deselected or left out

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note the tests that this process collected."""
        self._note_collected(session.config, [item.nodeid for item in session.items])

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, node: Any, ids: list[str]) -> None:
        """Note the tests that a worker collected; the process of the summary collects none itself."""
        self._note_collected(node.config, ids)

    def _note_collected(self, config: pytest.Config, ids: list[str]) -> None:
        selection = config.option.keyword or config.option.markexpr or config.option.deselect
        self._all_selected = not selection and set(config.args) <= set(config.getini("testpaths"))
        for nodeid in ids:
            if nodeid in self._entries:
                self._entries[nodeid].collected = True

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Turn a listed test's failure into an expected one."""
        report = yield
        entry = self._entries.get(item.nodeid)
        if entry is not None and report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"KNOWN-RED: {entry.cause} ({entry.issue})"
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a listed failure; called in the process of the summary, for reports of all workers."""
        entry = self._entries.get(report.nodeid)
        if entry is not None and getattr(report, "wasxfail", "").startswith("KNOWN-RED: "):
            entry.failed = True

    def _problems(self) -> list[str]:
        """What is wrong with the entries, a line each."""
        problems = []
        for entry in self._entries.values():
            if entry.collected and not entry.failed and not entry.intermittent:
                problems.append(f"line {entry.line}: {entry.test} does not fail: take it out")
            elif not entry.collected and self._all_selected:
                problems.append(f"line {entry.line}: {entry.test} names no test")
        return problems

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run that would pass where an entry is wrong."""
        if hasattr(session.config, "workerinput"):
            return  # a worker of a parallel run knows its own tests alone
        if self._problems() and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print listed failures, and what is wrong with entries."""
        for entry in self._entries.values():
            if entry.failed or (entry.collected and entry.intermittent):
                passed = "" if entry.failed else " passed this time,"
                terminalreporter.write_line(f"KNOWN-RED {entry.test}:{passed} {entry.cause} ({entry.issue})")
        for problem in self._problems():
            terminalreporter.write_line(f"KNOWN-RED.txt: {problem}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin with the entries of the file at the root, if there is one."""
    path = Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        entries = read_known_red(path.read_text(encoding="utf-8") if path.exists() else "")
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")
