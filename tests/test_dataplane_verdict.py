"""Whether a request may have been executed, as derived from the outcome of an attempt."""

from __future__ import annotations

from dunlinloft.dataplane.verdict import Verdict, verdict_of_broken_attempt, verdict_of_response


def test_only_an_attributable_statement_proves_that_a_request_was_not_executed() -> None:
    assert verdict_of_response(503, {"X-Not-Executed": "1"}, True) is Verdict.NOT_EXECUTED
    assert verdict_of_response(421, {}, True) is Verdict.NOT_EXECUTED
    assert verdict_of_response(503, {}, True) is Verdict.EXECUTED
    assert verdict_of_response(503, {"X-Not-Executed": "1"}, False) is Verdict.MAY_HAVE_EXECUTED
    assert verdict_of_broken_attempt(True) is Verdict.MAY_HAVE_EXECUTED
    assert verdict_of_broken_attempt(False) is Verdict.NOT_EXECUTED
