"""One process's part among the voters: the acceptor of leases and the replica of the state table.

A process that is not a voter has neither, but follows the voter set.
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
    """Owned by `manager.LeaseManager`; parameters as there. `with_table`: the fleet has a state table."""

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
        """Without memory: takes no part until it knows what there was."""
        names = list(self.voters.names)
        self.acceptor = Voter(self._name, names, now, self._term_ms, self._drift)
        if self._with_table:
            self.replica = TableReplica(self._name, names, self._rng.getrandbits(31))

    def adopt(self, voters: VoterSet, now: float) -> None:
        """Follow a newer voter set."""
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
        """Requests to other voters while this one recovers its memory."""
        requests: list[SendMessage] = []
        if self.acceptor is not None:
            requests += self.acceptor.recovery_requests(self.voters.epoch)
        if self.replica is not None:
            requests += self.replica.recovery_requests()
        return requests

    def handle_tokens(self, message: TokensRequest | TokensResponse, sender: str) -> list[SendMessage]:
        """Voters exchange the tokens that were issued, when one of them recovers."""
        replies: list[SendMessage] = []
        if message.voters_epoch != self.voters.epoch:
            replies.append(self.voter_set_for(sender))
            if isinstance(message, TokensRequest) or message.voters_epoch > self.voters.epoch:
                return replies  # whoever is behind catches up first, and requests again
        if self.acceptor is None:
            return replies
        if isinstance(message, TokensRequest):
            response = self.acceptor.tokens_response(message, self.voters.epoch)
            replies.append(SendMessage(sender, response))
        else:
            self.acceptor.handle_tokens_response(message, sender)
        return replies

    def voter_set_for(self, recipient: str) -> SendMessage:
        """The announcement of this voter set to a process whose messages bear another epoch."""
        return SendMessage(recipient, VoterSetUpdate("", self.voters))

    def acknowledge(self, message: VoterSetUpdate, sender: str) -> list[SendMessage]:
        """Respond to a voter set that this process has adopted, or that is older than its own."""
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
        """A request of the table's primary or of another replica, or a page for this one's recovery."""
        if self.replica is None:
            return []
        if isinstance(message, TablePage):
            return self.replica.handle_recovery_page(message, sender)
        if isinstance(message, TableRead):
            page = self.replica.handle_read(message)
            return [SendMessage(sender, page)] if page is not None else []
        response = self.replica.handle_write(message)
        return [SendMessage(sender, response)] if response is not None else []
