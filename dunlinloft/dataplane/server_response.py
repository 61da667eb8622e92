"""Validates the head of a server's response, and reads its body in chunks."""

from __future__ import annotations

import aiohttp

from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.http_headers import ATTEMPT_ID_HEADER, SIGNATURE_HEADER
from dunlinloft.dataplane.verdict import AttemptFailure, Verdict, verdict_of_response


def head_failure(response: aiohttp.ClientResponse, attempt_id: str | None) -> AttemptFailure | None:
    """The reason why a response must not be relayed; None if it may be relayed.

    Never relayed are a response to another attempt, one that states that the request was not executed, and a
    successful one that lacks the server's signature or has a content encoding.

    Parameters
    ----------
    attempt_id
        The id of the attempt that was sent; None if the client sent none, which skips the comparison.
    """
    echoes_attempt_id = attempt_id is None or response.headers.get(ATTEMPT_ID_HEADER) == attempt_id
    verdict = verdict_of_response(response.status, response.headers, echoes_attempt_id)
    if verdict is Verdict.NOT_EXECUTED:
        return AttemptFailure(verdict, Cause.DECLINED, f"the server answered {response.status}")
    if not echoes_attempt_id:
        return AttemptFailure(verdict, Cause.FOREIGN, "an answer to another request")
    if response.status < 200:
        return AttemptFailure(
            Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, f"the server answered {response.status}"
        )
    if response.status < 300:
        if SIGNATURE_HEADER not in response.headers:
            return AttemptFailure(
                Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, "an answer without the server's stamp"
            )
        if "Content-Encoding" in response.headers:
            return AttemptFailure(Verdict.MAY_HAVE_EXECUTED, Cause.FOREIGN, "an answer with an encoding")
    return None


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Whether nothing but the end of the connection marks the end of a response's body."""
    headers = response.headers
    return "Content-Length" not in headers and "chunked" not in headers.get("Transfer-Encoding", "").lower()


async def read_chunk(response: aiohttp.ClientResponse) -> bytes | AttemptFailure:
    """The next bytes of a response's body; empty at the regular end of the body."""
    try:
        return await response.content.readany()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return AttemptFailure(Verdict.MAY_HAVE_EXECUTED, Cause.BROKEN, f"{type(error).__name__}: {error}")
