"""Header fields that the node reads, sets or removes, and the selection of the fields that it forwards."""

from __future__ import annotations

from multidict import CIMultiDict

API_KEY_HEADER = "Api-Key"  # the client's credential; not forwarded
ATTEMPT_ID_HEADER = "X-Attempt-Id"  # identifies the client's attempt; servers echo it
DEADLINE_HEADER = "X-Deadline-Ms"  # remaining time of the attempt
LAST_EVENT_ID_HEADER = "Last-Event-Id"  # resume a stream after this event
PRIORITY_HEADER = "Priority"  # 0 (most urgent) to 9
PROMPT_SEGMENTS_HEADER = "X-Prompt-Prefix"  # comma-separated name:tokens pairs, in prompt order
SIGNATURE_HEADER = "X-Server-Signature"  # present on each successful response of a server
TARGET_INSTANCE_HEADER = "X-Target-Instance"  # id of the server that the attempt is addressed to
TENANT_ID_HEADER = "X-Tenant-Id"  # set by the node from the API key
TOKEN_USAGE_HEADER = "X-Token-Usage"  # prompt tokens, maximum response tokens

# RFC 9110, section 7.6.1, and the additional fields of RFC 2616, section 13.5.1.
HOP_BY_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)


def end_to_end_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """A copy without hop-by-hop fields, including those that `Connection` names."""
    named = {name.strip().lower() for value in headers.getall("Connection", []) for name in value.split(",")}
    dropped = HOP_BY_HOP_HEADERS | named
    return CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)
