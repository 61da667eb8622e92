"""What a run leaves behind: a file that can be compared and shown, typed."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from lab.figures import Series, Span
from lab.oracle import Break
from lab.scenario import Expect, Scenario

VERSION = 1


class BadResults(Exception):
    """A file that holds no results; says why."""


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
    broken: dict[str, int]  # how often each rule was broken
    missed: list[Missed]
    faults: list[Span]
    series: Series
    digest: str  # of all that happened; on the virtual host the same for each run of a seed
    took_s: float  # of real time
    late_ms: float = 0.0  # how late the lab itself was at most
    counted: bool = True  # False: it ran too late to say anything
    crashed: str = ""

    def kept(self) -> bool:
        """Whether all rules and expectations held."""
        return not (self.broken or self.missed or self.crashed)


class Results(Struct):
    """All seeds of a scenario on one host."""

    scenario: str
    host: str
    about: str
    results: list[Result]
    version: int = VERSION

    def counted(self) -> list[Result]:
        """Those that say something."""
        return [result for result in self.results if result.counted and not result.crashed]


def missed(expects: list[Expect], figures: dict[str, float]) -> list[Missed]:
    """Which expectations the figures don't meet; a figure that there isn't is missed too."""
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
    """Save as JSON."""
    path.write_bytes(msgspec.json.encode(results) + b"\n")


def read(path: Path) -> Results:
    """Load what `write` saved; `BadResults` says what is wrong with a file."""
    try:
        results = msgspec.json.decode(path.read_bytes(), type=Results)
    except OSError as problem:
        raise BadResults(f"{path}: {problem.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise BadResults(f"{path}: no results of the lab: {problem}") from None
    if results.version != VERSION:
        raise BadResults(f"{path}: version {results.version}, and this program reads {VERSION}")
    return results


def summary(scenario: Scenario, host: str) -> Results:
    """Results without any yet."""
    return Results(scenario.name, host, scenario.about, [])
