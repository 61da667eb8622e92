"""How records change what a replica keeps: the same function recovers a log and follows its writing."""

from __future__ import annotations

import hashlib
from typing import Any

from dunlinloft.coordination.messages import (
    AcceptRecord,
    ChainState,
    CommittedRecord,
    Document,
    Durable,
    Entry,
    EntryRecord,
    InstallRecord,
    Order,
    PromiseRecord,
    Record,
    SyncedRecord,
    Taken,
    ViewRecord,
)

TAKEN_MOST = 2_048
"""Orders remembered. An operator gives an order up within minutes, with eight at once and hundreds a day;
the same one can come again only that long, so two thousand outlive it many times over."""


def changed(document: Document, order: Order) -> Document:
    """The document after an order: replaced whole, or with named items put in and taken out."""
    if order.kind == "replace":
        return order.body
    result = dict(document)
    result["version"] = order.body["version"]
    for name, items in order.body.get("upsert", {}).items():
        result[name] = _with_items(_items(result, name), items) if isinstance(items, list) else items
    for name, names in order.body.get("delete", {}).items():
        gone = set(names)
        result[name] = [item for item in _items(result, name) if _name(item) not in gone]
    return result


def _items(document: Document, name: str) -> list[Any]:
    items = document.get(name)
    return items if isinstance(items, list) else []


def _name(item: Any) -> str | None:
    return item.get("name") if isinstance(item, dict) else None


def _with_items(items: list[Any], added: list[Any]) -> list[Any]:
    """The items with others added, or in the places of those of the same names."""
    new = {_name(item): item for item in added}
    result = [new.pop(_name(item), item) for item in items]
    return [*result, *new.values()]


def next_entry(state: ChainState, version: int, order: Order) -> Entry:
    """The entry that an order becomes after this state."""
    sequence = state.sequence + 1
    text = f"{state.chain_digest}/{sequence}/{version}/{order.digest}"
    return Entry(sequence, hashlib.blake2b(text.encode(), digest_size=16).hexdigest(), version, order)


def continues(state: ChainState, entry: Entry) -> bool:
    """Whether an entry is the one after this state's history, and of no other history."""
    return next_entry(state, entry.version, entry.order) == entry


def after_entry(state: ChainState, entry: Entry) -> ChainState:
    """The state once an entry is appended."""
    taken = (*state.taken[-(TAKEN_MOST - 1) :], Taken(entry.order.digest, entry.version))
    document = changed(state.document, entry.order)
    return ChainState(entry.sequence, entry.chain_digest, entry.version, document, taken)


def apply(durable: Durable, record: Record) -> None:
    """Follow one record."""
    match record:
        case ViewRecord():
            durable.view = record.view
            durable.promised = durable.accepted = None
        case PromiseRecord():
            durable.promised = record.ballot
        case AcceptRecord():
            durable.promised = record.ballot
            durable.accepted = (record.ballot, record.view)
        case EntryRecord():
            durable.state = after_entry(durable.state, record.entry)
        case InstallRecord():
            durable.state = record.state
        case SyncedRecord():
            durable.synced_epoch = record.epoch
        case CommittedRecord():
            durable.committed_digest = record.chain_digest
