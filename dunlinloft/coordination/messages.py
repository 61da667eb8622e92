"""The union of all messages between control-plane replicas, encoded as tagged JSON lines."""

from __future__ import annotations

from dunlinloft.coordination.call_messages import CallResult, ForwardedCall
from dunlinloft.coordination.chain_messages import (
    AppendEntries,
    Committed,
    InstallSnapshot,
    PredecessorPosition,
    SuccessorPosition,
)
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.voting_messages import (
    Accept,
    Accepted,
    ConfirmEpoch,
    Decided,
    EpochConfirmed,
    Prepare,
    PrepareResponse,
    ProposalRejected,
)

ReplicaMessage = (
    Heartbeat
    | Prepare
    | PrepareResponse
    | Accept
    | Accepted
    | ProposalRejected
    | Decided
    | PredecessorPosition
    | SuccessorPosition
    | AppendEntries
    | InstallSnapshot
    | Committed
    | ConfirmEpoch
    | EpochConfirmed
    | ForwardedCall
    | CallResult
)
