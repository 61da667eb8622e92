"""How a change turns one configuration document into the next; control plane and nodes compute the same."""

from __future__ import annotations

from typing import Any

from dunlinloft.coordination.state import ChangeKind, ConfigurationChange, Document


def apply_change(document: Document, change: ConfigurationChange) -> Document:
    """Return the document after a change: replaced, or with named items put in and taken out."""
    if change.kind == ChangeKind.REPLACE:
        return change.body
    result = dict(document)
    result["version"] = change.body["version"]
    for section, items in change.body.get("upsert", {}).items():
        result[section] = _upserted(_items(result, section), items) if isinstance(items, list) else items
    for section, names in change.body.get("delete", {}).items():
        deleted = set(names)
        result[section] = [item for item in _items(result, section) if _name(item) not in deleted]
    return result


def _items(document: Document, section: str) -> list[Any]:
    items = document.get(section)
    return items if isinstance(items, list) else []


def _name(item: object) -> str | None:
    return item.get("name") if isinstance(item, dict) else None


def _upserted(items: list[Any], upserts: list[Any]) -> list[Any]:
    """Return the items, with those of the same name exchanged in their positions and new ones at the end."""
    remaining = {_name(item): item for item in upserts}
    result = [remaining.pop(_name(item), item) for item in items]
    return [*result, *remaining.values()]
