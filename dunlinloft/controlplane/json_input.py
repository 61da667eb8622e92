"""Decodes JSON that servers and operators send, so that this process can pass it on without changing it.

A value is decoded with the codec that encodes it for the disk, the other replicas and the nodes. Everything
that is accepted here can therefore be encoded, and is decoded to an equal value everywhere. A second decoder
(`json`) accepts more: it reads `NaN`, which the codec writes as `null`, and lone surrogates, which the codec
can't encode.
"""

from __future__ import annotations

import codecs
from typing import TypeAlias

import msgspec

from dunlinloft.controlplane.exceptions import InvalidJsonError
from dunlinloft.coordination.state import Document

# Nested deeper than any configuration needs, and far from the interpreter's recursion limit (1,000), which a
# value would otherwise reach only when a message that contains it is encoded.
MAX_NESTING_DEPTH = 100

JsonValue: TypeAlias = object  # dict, list, str, int, float, bool or None


def decode_json(data: bytes) -> JsonValue:
    """Decode one JSON value. Raises `InvalidJsonError`."""
    try:
        value: JsonValue = msgspec.json.decode(data.removeprefix(codecs.BOM_UTF8))
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidJsonError(f"not valid JSON: {error}") from error
    except RecursionError:
        raise InvalidJsonError(f"nested deeper than {MAX_NESTING_DEPTH} levels") from None
    check_nesting(value)
    return value


def decode_document(data: bytes) -> Document:
    """Decode the body of a configuration change. Raises `InvalidJsonError`."""
    value = decode_json(data)
    if not isinstance(value, dict):
        raise InvalidJsonError("not a JSON object")
    return value


def check_nesting(value: JsonValue) -> None:
    """Raise `InvalidJsonError` if a value is nested deeper than `MAX_NESTING_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_NESTING_DEPTH):
        level = [child for parent in level for child in _children(parent) if isinstance(child, dict | list)]
        if not level:
            return
    raise InvalidJsonError(f"nested deeper than {MAX_NESTING_DEPTH} levels")


def _children(value: JsonValue) -> list[JsonValue]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def is_encodable(text: str) -> bool:
    """Return whether a text has a UTF-8 form; one decoded from a request line need not have one."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
