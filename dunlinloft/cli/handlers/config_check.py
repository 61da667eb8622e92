"""`dunlinloft check`: all problems of a node's configuration, each with its path.

The node's own parser decodes the file repeatedly; each time, the value that it rejects is reported and
replaced by a valid example. So the problems are those that the node would report over successive starts.
"""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeAlias

from dunlinloft.balancer.settings import MalformedInput
from dunlinloft.node.config import parse_config, parse_directory, path_in

MAX_PROBLEMS = 200  # reported per file; a file with more is unlikely to be a configuration
MIN_KEY_SIMILARITY = 0.8  # difflib ratio from which an unknown key counts as a misspelling of a missing one

# File path of each setting that has a different name in the balancer's settings.
FILE_PATHS = {
    "aim_ms": "objective_ms", "deadline_ms": "give_up_ms", "worth": "importance", "nodes": "siblings",
    "number": "my_number", "tiers": "stages", "share": "fraction", "max_attempts": "permissions.max_attempts",
    "connect_timeout_ms": "permissions.connect_timeout_ms", "keepalive_ms": "permissions.keepalive_ms",
    "max_retry_after_ms": "permissions.max_retry_after_ms", "tick_ms": "quantum_ms",
    "ask_every_ms": "rules.ask_every_ms", "answer_slack_ms": "rules.answer_slack_ms",
    "drain_grace_ms": "rules.stop_sending_within_ms", "start_capacity": "rules.start_capacity",
    "ramp_time_ms": "rules.ramp_time_ms", "overload_factor": "rules.overload_factor",
    "overload_for_ms": "rules.overload_for_ms", "repeat_ratio": "rules.repeat_ratio",
    "extra_floor": "rules.extra_floor", "resend_span_ms": "rules.resend_span_ms",
    "cross_zone_price": "prices.cross_zone", "handshake_price": "prices.handshake",
    "worst_class": "score_parts.worst_class",
}  # fmt: skip


JsonValue: TypeAlias = Any  # as `json.loads` returns it


class _TrackedObject(dict[str, JsonValue]):
    """A JSON object that records which keys were looked up."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.looked_up: set[str] = set()

    def __getitem__(self, key: str) -> JsonValue:
        self.looked_up.add(key)
        return super().__getitem__(key)

    def get(self, key: str, default: JsonValue = None) -> JsonValue:
        """Return the value as `dict.get` does; records the key."""
        self.looked_up.add(key)
        return super().get(key, default)


@dataclass(frozen=True)
class Problem:
    """A problem of a configuration file."""

    text: str
    path: str | None = None  # of the value or key in the file; None if the problem concerns the whole file

    def __str__(self) -> str:
        return self.text if self.path is None else f"{self.path}: {self.text}"


@dataclass
class _Findings:
    """Problems in the order in which the parser found them, and the paths whose values were replaced."""

    problems: list[Problem] = field(default_factory=list)
    replaced: set[str] = field(default_factory=set)


def check_file(path: Path, of_directory: bool = False) -> list[Problem]:
    """Return all problems of a configuration file; none if a process can start with it.

    `of_directory`: the file is for a process of the cell directory instead of a node.
    """
    try:
        root = json.loads(path.read_text(encoding="utf-8"), object_pairs_hook=_TrackedObject)
    except OSError as error:
        return [Problem(f"file not readable: {error.strerror}")]
    except (ValueError, RecursionError) as error:
        return [Problem(f"not valid JSON: {error!s:.200}")]
    if not isinstance(root, _TrackedObject):
        return [Problem("must be a JSON object")]
    problems = _rejected_values(root, parse_directory if of_directory else parse_config)
    return problems + _misspelt_keys(root, "")


def _rejected_values(root: _TrackedObject, parse: Callable[[_TrackedObject], object]) -> list[Problem]:
    """Return the values that the parser rejects; each is replaced in `root`, so that parsing gets further."""
    findings = _Findings()
    for _ in range(MAX_PROBLEMS):
        try:
            parse(root)
        except MalformedInput as error:
            if error.location is None:
                return [*findings.problems, Problem(str(error))]
            _replace_rejected(root, error, findings)
        except ValueError as error:
            texts = str(error).split("; ")
            return findings.problems + [_with_file_path(text, root) for text in texts]
        else:
            break
    return findings.problems


def _replace_rejected(root: _TrackedObject, error: MalformedInput, findings: _Findings) -> None:
    """Report a value once, and replace it by the parser's valid example."""
    assert error.location is not None
    location = error.location
    container, key, example = location.container, location.key, location.example
    path = path_in(root, container, key) or str(key)
    if path not in findings.replaced:
        findings.problems.append(Problem(_without_key(str(error), key), path))
    findings.replaced.add(path)
    container[key] = _TrackedObject(list(example.items())) if isinstance(example, dict) else example


def _without_key(text: str, key: str | int) -> str:
    """Remove the leading key from the parser's message, because the path already ends in it."""
    return text.removeprefix(f"{key!r}").removeprefix(":").strip()


def _with_file_path(text: str, root: _TrackedObject) -> Problem:
    """Convert a message of the balancer's settings to the paths and names of the file."""
    path, _, message = text.partition(": ")
    settings = dict.get(root, "settings", {})
    match = re.fullmatch(r"(classes|tenants)\[(.*)\](?:\.(\w+))?", path)
    if match:
        group, name, key = match.groups()
        names = [item.get("name") for item in settings.get(group, []) if isinstance(item, dict)]
        item_path = f"{group}[{names.index(name) if name in names else name}]"
        path = f"{item_path}.{FILE_PATHS.get(key, key)}" if key else item_path
    else:
        path = FILE_PATHS.get(path, path)
    for setting, file_path in FILE_PATHS.items():
        message = re.sub(rf"\b{setting}\b", file_path, message)
    return Problem(message, f"settings.{path}")


def _misspelt_keys(value: object, path: str) -> list[Problem]:
    """Return keys that were not looked up and resemble a key that was looked up but is missing."""
    problems: list[Problem] = []
    if isinstance(value, _TrackedObject):
        missing = [key for key in value.looked_up if key not in value]
        for key, child in value.items():
            child_path = f"{path}.{key}".lstrip(".")
            similar = difflib.get_close_matches(key, missing, 1, MIN_KEY_SIMILARITY)
            if key not in value.looked_up and similar:
                problems.append(Problem(f"unknown key; did you mean {similar[0]!r}?", child_path))
            problems += _misspelt_keys(child, child_path)
    elif isinstance(value, list):
        for position, child in enumerate(value):
            problems += _misspelt_keys(child, f"{path}[{position}]")
    return problems
