"""The voting components of one process: the acceptor of leases and the replica of the state table.

A process that is not a voter has neither, but keeps track of the voter set.
"""

from __future__ import annotations

import random

from dunlinloft.fleet.leases.messages import (
    SendMessage,
    TablePage,
    TableRead,
    TableWrite,
    TokensRequest,
    TokensResponse,
    VoterSet,
    VoterSetAck,
    VoterSetUpdate,
)
from dunlinloft.fleet.leases.table_replica import TableReplica
from dunlinloft.fleet.leases.voter import Voter


class VotingMember:
    """Owned by `manager.LeaseManager`, with its parameters; `with_table`: the fleet has a state table."""

    def __init__(
        self, name: str, incarnation: int, voters: VoterSet, with_table: bool, rng: random.Random,
        now: float, term_ms: float, drift: float,
    ) -> None:  # fmt: skip
        self._name = name
        self._incarnation = incarnation
        self._with_table = with_table
        self._rng = rng
        self._term_ms = term_ms
        self._drift = drift
        self.voters = voters
        self.acceptor: Voter | None = None
        self.replica: TableReplica | None = None
        if name in voters.names:
            self._become_voter(now)

    def _become_voter(self, now: float) -> None:
        """Create the components without memory; they do not take part until they have recovered."""
        names = list(self.voters.names)
        self.acceptor = Voter(self._name, names, now, self._term_ms, self._drift)
        if self._with_table:
            self.replica = TableReplica(self._name, names, self._rng.getrandbits(31))

    def adopt(self, voters: VoterSet, now: float) -> None:
        """Adopt a newer voter set."""
        self.voters = voters
        if self._name not in voters.names:
            self.acceptor = None
            self.replica = None
        elif self.acceptor is None:
            self._become_voter(now)
        else:
            self.acceptor.set_voters(voters.names)
        if self.replica is not None:
            self.replica.set_voters(list(voters.names), voters.epoch)

    def recovery_requests(self) -> list[SendMessage]:
        """Return requests to other voters while this one recovers its memory."""
        requests: list[SendMessage] = []
        if self.acceptor is not None:
            requests += self.acceptor.recovery_requests(self.voters.epoch)
        if self.replica is not None:
            requests += self.replica.recovery_requests()
        return requests

    def handle_tokens(self, message: TokensRequest | TokensResponse, sender: str) -> list[SendMessage]:
        """Handle the exchange of issued tokens between voters when one of them recovers."""
        replies: list[SendMessage] = []
        if message.voters_epoch != self.voters.epoch:
            replies.append(self.voter_set_for(sender))
            if isinstance(message, TokensRequest) or message.voters_epoch > self.voters.epoch:
                return replies  # the side that is behind catches up first, then requests again
        if self.acceptor is None:
            return replies
        if isinstance(message, TokensRequest):
            response = self.acceptor.tokens_response(message, self.voters.epoch)
            replies.append(SendMessage(sender, response))
        else:
            self.acceptor.handle_tokens_response(message, sender)
        return replies

    def voter_set_for(self, recipient: str) -> SendMessage:
        """Return the announcement of this voter set to a process whose messages have another epoch."""
        return SendMessage(recipient, VoterSetUpdate("", self.voters))

    def acknowledge(self, message: VoterSetUpdate, sender: str) -> list[SendMessage]:
        """Respond to an announced voter set that is adopted by this process, or older than its own."""
        if message.voters.epoch < self.voters.epoch:
            return [self.voter_set_for(sender)]
        if not message.request_id:
            return []
        if self.acceptor is not None:
            self.acceptor.merge_tokens(message.tokens)
        recovered = self.acceptor is None or self.acceptor.recovered()
        tokens = self.acceptor.tokens() if self.acceptor is not None else {}
        ack = VoterSetAck("", self.voters.epoch, message.request_id, recovered, tokens, self._incarnation)
        return [SendMessage(sender, ack)]

    def handle_table_message(
        self, message: TableRead | TableWrite | TablePage, sender: str
    ) -> list[SendMessage]:
        """Handle a request from the primary or another replica, or a page for this replica's recovery."""
        if self.replica is None:
            return []
        if isinstance(message, TablePage):
            return self.replica.handle_recovery_page(message, sender)
        if isinstance(message, TableRead):
            page = self.replica.handle_read(message)
            return [SendMessage(sender, page)] if page is not None else []
        response = self.replica.handle_write(message)
        return [SendMessage(sender, response)] if response is not None else []
