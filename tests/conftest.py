"""Pytest plugin for KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault.

Listed tests run and are printed, and their failures alone don't fail the run. The number of entries is
limited. The run fails if there are too many entries, an entry is malformed or names no test, or a listed
test passes. An intermittent failure, whose cause was not found, is listed with a cause that begins with
`at times:`; its test may pass.
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
    """KNOWN-RED.txt is invalid; the message says what was expected."""


@dataclass
class KnownRedEntry:
    """An entry of KNOWN-RED.txt and the outcome of its test."""

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


def read_known_red(text: str) -> dict[str, KnownRedEntry]:
    """Parse the entries, keyed by test; skip comments and blank lines. Raises `KnownRedError`."""
    entries: dict[str, KnownRedEntry] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(f"line {number}: expected {ENTRY_FORMAT}, got {line!r:.60}")
        test, cause, issue = fields
        if test in entries:
            raise KnownRedError(f"line {number}: {test} is named twice")
        entries[test] = KnownRedEntry(number, test, cause, issue)
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{len(entries)} entries, at most {MAX_ENTRIES} are allowed")
    return entries


class KnownRedPlugin:
    """Reports listed failures as expected, and invalid or outdated entries as errors."""

    def __init__(self, entries: dict[str, KnownRedEntry]) -> None:
        self._entries = entries
        self._all_selected = True  # whether the whole test suite was collected

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Record which listed tests this process collected."""
        self._record_collected(session.config, [item.nodeid for item in session.items])

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, node: Any, ids: list[str]) -> None:
        """Record which listed tests an xdist worker collected; the controller collects none itself."""
        self._record_collected(node.config, ids)

    def _record_collected(self, config: pytest.Config, ids: list[str]) -> None:
        selection = config.option.keyword or config.option.markexpr or config.option.deselect
        self._all_selected = not selection and set(config.args) <= set(config.getini("testpaths"))
        for nodeid in ids:
            if nodeid in self._entries:
                self._entries[nodeid].collected = True

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Report the failure of a listed test as an expected failure."""
        report = yield
        entry = self._entries.get(item.nodeid)
        if entry is not None and report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"KNOWN-RED: {entry.cause} ({entry.issue})"
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the failure of a listed test; the xdist controller gets the reports of all workers."""
        entry = self._entries.get(report.nodeid)
        if entry is not None and getattr(report, "wasxfail", "").startswith("KNOWN-RED: "):
            entry.failed = True

    def _problems(self) -> list[str]:
        """Describe each outdated entry in one line."""
        problems = []
        for entry in self._entries.values():
            if entry.collected and not entry.failed and not entry.intermittent:
                problems.append(f"line {entry.line}: {entry.test} does not fail: take it out")
            elif not entry.collected and self._all_selected:
                problems.append(f"line {entry.line}: {entry.test} names no test")
        return problems

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail an otherwise passing run if an entry is outdated."""
        if hasattr(session.config, "workerinput"):
            return  # an xdist worker sees only the outcomes of its own tests
        if self._problems() and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed failures and the outdated entries."""
        for entry in self._entries.values():
            if entry.failed or (entry.collected and entry.intermittent):
                passed = "" if entry.failed else " passed this time,"
                terminalreporter.write_line(f"KNOWN-RED {entry.test}:{passed} {entry.cause} ({entry.issue})")
        for problem in self._problems():
            terminalreporter.write_line(f"KNOWN-RED.txt: {problem}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin with the entries of KNOWN-RED.txt in the root directory, if it exists."""
    path = Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        entries = read_known_red(path.read_text(encoding="utf-8") if path.exists() else "")
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")
