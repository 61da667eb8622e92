"""Applies configuration changes to a document; control planes and nodes compute the same result."""

from __future__ import annotations

from typing import Any

from dunlinloft.coordination.state import ChangeKind, ConfigurationChange, Document


def apply_change(document: Document, change: ConfigurationChange) -> Document:
    """Return the document after a change: replaced, or with named items upserted and deleted."""
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
    """Return the items with those of the same name replaced in place, and new ones appended."""
    remaining = {_name(item): item for item in upserts}
    result = [remaining.pop(_name(item), item) for item in items]
    return [*result, *remaining.values()]
