"""What the members of a cell say of themselves and of their service; broken words are left out."""

from __future__ import annotations

from collections.abc import Iterable

from dunlinloft.fleet.cells.messages import Found
from dunlinloft.fleet.messages import MetadataValue

SERVICE = "service_members"  # the fact by which members tell their cell how many the service has
MOST_SERVICE = 1e6  # members of a service: a greater word is not believed
HEARSAY_MS = 3_600_000  # so old is what such a word says, at least
MOST_TEXT = 64  # characters of an address or a version in a summary


def load_and_program(facts: list[dict[str, MetadataValue]]) -> tuple[float, str]:
    """Requests in flight at all of these, and the least version that one of them runs."""
    loads = [some.get("load") for some in facts]
    programs = [str(some.get("program", "")) for some in facts]
    return sum(load for load in loads if isinstance(load, float)), min(programs)[:MOST_TEXT]


def greatest_word(facts: Iterable[dict[str, MetadataValue]]) -> float:
    """How many the service has by the greatest word of these; 0 where nobody says it."""
    words = [some.get(SERVICE) for some in facts]
    return max((w for w in words if isinstance(w, float) and 0.0 < w <= MOST_SERVICE), default=0.0)


def hearsay(service: int) -> Found:
    """A member's word for how many there are, as if the directory had said it, long ago and not surely."""
    return Found(0, 0, 0, 0, 0, 0, [], service, age_ms=HEARSAY_MS)
