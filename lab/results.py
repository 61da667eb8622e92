"""Typed result files, which can be compared and shown."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lab.figures import Series, Span
from lab.oracle import Break
from lab.scenario import Expect, Scenario

VERSION = 1


class ResultsError(Exception):
    """A file does not contain valid results."""


class Missed(Struct):
    """An expectation that a seed did not meet."""

    figure: str
    wanted: str
    got: float


class Result(Struct):
    """One seed of a scenario."""

    seed: int
    figures: dict[str, float]
    breaks: list[Break]
    broken: dict[str, int]  # number of violations by rule
    missed: list[Missed]
    faults: list[Span]
    series: Series
    digest: str  # hash of all records; deterministic for a seed on the virtual host
    took_s: float  # wall-clock time
    late_ms: float = 0.0  # maximum scheduling delay of the lab itself
    counted: bool = True  # False: scheduling delays were too long for a valid result
    crashed: str = ""

    def kept(self) -> bool:
        """Return whether all rules and expectations were met."""
        return not (self.broken or self.missed or self.crashed)


class Results(Struct):
    """All seeds of a scenario on one host."""

    scenario: str
    host: str
    about: str
    results: list[Result]
    version: int = VERSION

    def counted(self) -> list[Result]:
        """Return the valid results."""
        return [result for result in self.results if result.counted and not result.crashed]


def missed(expects: list[Expect], figures: dict[str, float]) -> list[Missed]:
    """Return the expectations that are not met; one on a figure that does not exist counts as not met."""
    found = []
    for expect in expects:
        value = figures.get(expect.figure)
        if value is None:
            found.append(Missed(expect.figure, "a figure of that name", -1.0))
        elif value < expect.at_least:
            found.append(Missed(expect.figure, f"at least {expect.at_least:g}", value))
        elif value > expect.at_most:
            found.append(Missed(expect.figure, f"at most {expect.at_most:g}", value))
    return found


def write(results: Results, path: Path) -> None:
    """Write results as JSON."""
    path.write_bytes(msgspec.json.encode(results) + b"\n")


def read(path: Path) -> Results:
    """Read a result file; raises `ResultsError` if it is invalid."""
    try:
        results = msgspec.json.decode(path.read_bytes(), type=Results)
    except OSError as problem:
        raise ResultsError(f"{path}: {problem.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ResultsError(f"{path}: not a result file of the lab: {problem}") from None
    if results.version != VERSION:
        raise ResultsError(f"{path}: version {results.version}, and this program reads {VERSION}")
    return results


def empty_results(scenario: Scenario, host: str) -> Results:
    """Return an empty `Results` for a scenario and host."""
    return Results(scenario.name, host, scenario.about, [])
