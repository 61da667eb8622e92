"""The operators' log: events with names and fields, as text or as lines of JSON.

Every line has a name that stays when its wording changes, and its fields beside the text. What is not
written is not formatted: the text is put together only by the handler that writes it.
"""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

TEXT, JSON = "text", "json"
FORMS = {TEXT: TEXT, JSON: JSON}
_log = logging.getLogger("dunlinloft.node")


def info(event: str, text: str, **fields: Any) -> None:
    """Something that operators may want to know; `text` names its fields as `%(name)s`."""
    _write(logging.INFO, event, text, fields)


def warning(event: str, text: str, **fields: Any) -> None:
    """Something that they should look at."""
    _write(logging.WARNING, event, text, fields)


def _write(level: int, event: str, text: str, fields: dict[str, Any]) -> None:
    if _log.isEnabledFor(level):
        _log.log(level, text, *_args(fields), extra={"event": event})


def _args(fields: dict[str, Any]) -> tuple[dict[str, Any], ...]:
    # An empty mapping is taken for an argument of its own, which the text has no place for.
    return (fields,) if fields else ()


def exception(event: str, text: str, **fields: Any) -> None:
    """An error that the node survives, with where it came from."""
    _log.error(text, *_args(fields), exc_info=True, extra={"event": event})


class JsonLines(logging.Formatter):
    """Each event as an object on a line of its own: when, who, how grave, what, its fields, the text."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}",
            "node": self._name,
            "level": record.levelname.lower(),
            "event": getattr(record, "event", record.name),
        }
        if isinstance(record.args, dict):
            line |= {key: value for key, value in record.args.items() if key not in line}
        line["text"] = record.getMessage()
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, separators=(",", ":"))


def setup(name: str, form: str) -> None:
    """Write to standard error from now on."""
    handler = logging.StreamHandler(sys.stderr)
    if form == JSON:
        handler.setFormatter(JsonLines(name))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
