"""Parses operators' requests to start a release."""

from __future__ import annotations

import re
from dataclasses import dataclass
from itertools import pairwise

from dunlinloft.fleet.releases.messages import MAX_SERVER_NAMES, MAX_STAGES

DEFAULT_STAGES = (0.01, 0.05, 0.25, 0.5, 1.0)
DEFAULT_BAKE_S = 30.0
MIN_BAKE_S = 1.0
MAX_BAKE_S = 86_400.0
PARAMETERS = frozenset({"since", "names", "stages", "bake", "by", "why"})


@dataclass(slots=True)
class ReleaseRequest:
    """A release as operators request it; the fields are those of `messages.Plan`."""

    started_since_ms: float = 0.0
    server_names: tuple[str, ...] = ()
    stages: tuple[float, ...] = DEFAULT_STAGES
    bake_s: float = DEFAULT_BAKE_S


class InvalidReleaseRequest(ValueError):
    """A malformed request; the text names the parameter and the reason in one line."""


def parse_release_request(parameters: dict[str, str]) -> ReleaseRequest:
    """Parse the parameters of a request: `since`, `names`, `stages` in percent, `bake` in seconds.

    Raises `InvalidReleaseRequest`.
    """
    unknown = sorted(parameters.keys() - PARAMETERS)
    if unknown:
        raise InvalidReleaseRequest(f"{unknown[0]}: unknown; expected since, names, stages, bake, by or why")
    names = tuple(filter(None, (name.strip() for name in parameters.get("names", "").split(","))))
    since = parameters.get("since", "")
    if bool(names) == bool(since):
        raise InvalidReleaseRequest("names or since: exactly one is required to tell which servers are new")
    if len(names) > MAX_SERVER_NAMES:
        raise InvalidReleaseRequest(
            f"names: {len(names)} given, at most {MAX_SERVER_NAMES} allowed; use since instead"
        )
    since_ms = _parse_number("since", since, "a Unix time in seconds") * 1000.0 if since else 0.0
    stages = _parse_stages(parameters["stages"]) if parameters.get("stages") else DEFAULT_STAGES
    bake = parameters.get("bake", "").removesuffix("s")
    bake_s = _parse_number("bake", bake, "seconds, such as 30 or 30s") if bake else DEFAULT_BAKE_S
    if not MIN_BAKE_S <= bake_s <= MAX_BAKE_S:
        raise InvalidReleaseRequest(f"bake: {bake_s:g} s is out of range (1 s to a day)")
    return ReleaseRequest(since_ms, names, stages, bake_s)


def _parse_number(parameter: str, text: str, expected: str) -> float:
    if not re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text):
        raise InvalidReleaseRequest(f"{parameter}: {text!r:.30} is not {expected}")
    return float(text)


def _parse_stages(text: str) -> tuple[float, ...]:
    stages = tuple(
        _parse_number("stages", stage.strip(), "percent, such as 1,5,25,50,100") for stage in text.split(",")
    )
    if len(stages) > MAX_STAGES:
        raise InvalidReleaseRequest(f"stages: {len(stages)} given, at most {MAX_STAGES} allowed")
    if stages[-1] != 100.0 or any(a >= b for a, b in pairwise(stages)) or not stages[0]:
        raise InvalidReleaseRequest(f"stages: {text!r:.40} must increase, from above 0 to 100")
    return tuple(stage / 100.0 for stage in stages)
