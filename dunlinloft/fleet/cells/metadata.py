"""Metadata that members of a cell exchange; values that are out of range are ignored."""

from __future__ import annotations

from collections.abc import Iterable

from dunlinloft.fleet.cells.messages import LookupResponse
from dunlinloft.fleet.messages import MetadataValue

SERVICE_MEMBERS_KEY = "service_members"  # a claimed number of the service's members; encoded, like all keys
MAX_SERVICE_MEMBERS = 1e6  # greater claims are ignored
CLAIM_AGE_MS = 3_600_000  # assumed age of a claim; beyond any bound, so a claim is never reliable
MAX_TEXT_LENGTH = 64  # characters of an address or a version in a summary


def load_and_lowest_program(metadata: list[dict[str, MetadataValue]]) -> tuple[float, str]:
    """Return the requests in flight at all of these members, and the lowest version that one runs."""
    loads = [values.get("load") for values in metadata]
    programs = [str(values.get("program", "")) for values in metadata]
    return sum(load for load in loads if isinstance(load, float)), min(programs)[:MAX_TEXT_LENGTH]


def largest_claim(metadata: Iterable[dict[str, MetadataValue]]) -> float:
    """Return the greatest number of the service's members that a member claims; 0 without a claim."""
    claims = [values.get(SERVICE_MEMBERS_KEY) for values in metadata]
    return max((c for c in claims if isinstance(c, float) and 0.0 < c <= MAX_SERVICE_MEMBERS), default=0.0)


def response_from_claim(service_members: int) -> LookupResponse:
    """Return a member's claim in the form of an old and unreliable response of the directory."""
    return LookupResponse(0, 0, 0, 0, 0, 0, [], service_members, age_ms=CLAIM_AGE_MS)
