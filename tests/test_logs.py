"""The log as text and as JSON lines."""

from __future__ import annotations

import json
import logging
from typing import Any

from dunlinloft.node import logs


def log_lines(form: str) -> list[str]:
    formatter = logs.JsonLines("n1") if form == logs.JSON else logging.Formatter("%(message)s")
    lines: list[str] = []

    class Keep(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            lines.append(self.format(record))

    log, keep = logging.getLogger("dunlinloft.node"), Keep()
    keep.setFormatter(formatter)
    log.addHandler(keep)
    log.setLevel(logging.INFO)
    try:
        logs.info("stopping", "stopping")
        logs.warning("late", "the event loop ran %(late_ms).0f ms late", late_ms=123.4)
        try:
            raise KeyError("gone")
        except KeyError:
            logs.exception("error", "handling %(what)s", what="News")
    finally:
        log.removeHandler(keep)
    return lines


def test_text_format_writes_the_formatted_text() -> None:
    lines = log_lines(logs.TEXT)
    assert lines[:2] == ["stopping", "the event loop ran 123 ms late"]
    assert lines[2].startswith("handling News\nTraceback")


def test_json_format_writes_event_fields_and_text() -> None:
    found: list[dict[str, Any]] = [json.loads(line) for line in log_lines(logs.JSON)]
    assert [(line["event"], line["level"], line["node"]) for line in found] == [
        ("stopping", "info", "n1"),
        ("late", "warning", "n1"),
        ("error", "error", "n1"),
    ]
    assert found[1]["late_ms"] == 123.4
    assert found[1]["text"] == "the event loop ran 123 ms late"
    assert found[2]["what"] == "News"
    assert "KeyError: 'gone'" in found[2]["trace"]


def test_suppressed_event_is_not_formatted() -> None:
    class Loud:
        def __str__(self) -> str:
            raise AssertionError("it was formatted")

    log = logging.getLogger("dunlinloft.node")
    level = log.level
    log.setLevel(logging.ERROR)
    try:
        logs.info("x", "%(loud)s", loud=Loud())
    finally:
        log.setLevel(level)
