"""What is wrong with a node's configuration: all of it at once, each with its path in the file.

The node's own reader is asked again and again; each time the value that it stumbles over is noted and
replaced by one that would do. So what is said here is what the node would say, one start after another.
"""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from dunlinloft.balancer.settings import Malformed
from orchidferry.config import parse_config, parse_directory, path_in

MOST = 200  # problems; a file with more is no configuration
NEAR = 0.8  # how alike a key that is not known is to one that is missing, to be taken for it

# The module's names of what the file calls otherwise.
WORDS = {
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


class _Object(dict[str, Any]):
    """A JSON object that remembers which keys its reader asked for."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.asked: set[str] = set()

    def __getitem__(self, key: str) -> Any:
        self.asked.add(key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self.asked.add(key)
        return super().get(key, default)


def check_file(path: Path, of_directory: bool = False) -> list[str]:
    """Everything that is wrong with a file, a line each; empty where a process can be started with it."""
    try:
        root = json.loads(path.read_text(encoding="utf-8"), object_pairs_hook=_Object)
    except OSError as problem:
        return [f"can't be read: {problem.strerror}"]
    except (ValueError, RecursionError) as problem:
        return [f"not JSON: {problem!s:.200}"]
    if not isinstance(root, _Object):
        return ["must be an object"]
    problems = _read(root, parse_directory if of_directory else parse_config)
    return problems + _mistyped(root, "")


def _read(root: _Object, parse: Callable[[_Object], object]) -> list[str]:
    found: list[str] = []
    mended: set[str] = set()
    for _ in range(MOST):
        try:
            parse(root)
        except Malformed as problem:
            if problem.place is None:
                return [*found, str(problem)]
            holder, key, example = problem.place
            where = path_in(root, holder, key) or str(key)
            if where not in mended:
                found.append(f"{where}: {_without_key(str(problem), key)}")
            mended.add(where)
            holder[key] = _Object(list(example.items())) if isinstance(example, dict) else example
        except ValueError as problem:
            return found + [_in_the_files_words(text, root) for text in str(problem).split("; ")]
        else:
            return found
    return found


def _without_key(text: str, key: str | int) -> str:
    """The reader names the key first; the path does already."""
    return text.removeprefix(f"{key!r}").removeprefix(":").strip()


def _in_the_files_words(text: str, root: _Object) -> str:
    """A problem in the module's names, with the path and names of the file."""
    where, _, what = text.partition(": ")
    settings = dict.get(root, "settings", {})
    match = re.fullmatch(r"(classes|tenants)\[(.*)\](?:\.(\w+))?", where)
    if match:
        group, name, key = match.groups()
        names = [item.get("name") for item in settings.get(group, []) if isinstance(item, dict)]
        place = f"{group}[{names.index(name) if name in names else name}]"
        where = f"{place}.{WORDS.get(key, key)}" if key else place
    else:
        where = WORDS.get(where, where)
    for own, theirs in WORDS.items():
        what = re.sub(rf"\b{own}\b", theirs, what)
    return f"settings.{where}: {what}"


def _mistyped(value: Any, at: str) -> list[str]:
    """Keys that the reader does not know, and that are nearly those of something that is not there."""
    found: list[str] = []
    if isinstance(value, _Object):
        absent = [key for key in value.asked if key not in value]
        for key, child in value.items():
            where = f"{at}.{key}".lstrip(".")
            near = difflib.get_close_matches(key, absent, 1, NEAR)
            if key not in value.asked and near:
                found.append(f"{where}: unknown key; did you mean {near[0]!r}?")
            found += _mistyped(child, where)
    elif isinstance(value, list):
        for n, child in enumerate(value):
            found += _mistyped(child, f"{at}[{n}]")
    return found
