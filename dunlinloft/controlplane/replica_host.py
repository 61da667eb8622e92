"""Drives the replica's state machine: feeds it messages, time and completed writes; performs its actions."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable
from typing import cast

from dunlinloft.controlplane.disk_writer import DiskWriter
from dunlinloft.controlplane.peer_connections import PeerConnections
from dunlinloft.coordination.actions import Action, Commit, Persist, Reply, Send
from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.replica import Replica
from dunlinloft.coordination.state import ChainState, ConfigurationChange, LogEntry
from dunlinloft.coordination.stream import ControlPlaneInbound
from dunlinloft.coordination.views import View
from dunlinloft.transport.clock import now_ms

LEAVE_POLL_INTERVAL_S = 0.01


class ReplicaHost:
    """Performs the replica's actions in the order in which it returns them.

    Parameters
    ----------
    on_commit:
        Called with each newly committed state and the log entry that produced it, or None if the replica no
        longer has that entry.
    """

    def __init__(
        self,
        replica: Replica,
        disk: DiskWriter,
        peers: PeerConnections,
        on_commit: Callable[[ChainState, LogEntry | None], None],
    ) -> None:
        self._replica = replica
        self._disk = disk
        self._peers = peers
        self._on_commit = on_commit
        self._calls: dict[str, asyncio.Future[Reply]] = {}  # operator requests in flight, by token
        self._call_numbers = itertools.count(1)

    def start(self, initial_view: View | None) -> None:
        """Start the replica; `initial_view` is given only at the first start of the control plane."""
        self._perform(self._replica.start(initial_view))

    def handle(self, message: ControlPlaneInbound) -> None:
        """Pass a message to the replica, which ignores messages that are not from a replica."""
        self._perform(self._replica.handle(cast(ReplicaMessage, message), now_ms()))

    def tick(self) -> None:
        """Advance the replica's clock; called every `TICK_INTERVAL_S`."""
        self._perform(self._replica.tick(now_ms()))

    def on_persisted(self, token: int) -> None:
        """Report to the replica that a record is durable; called by `DiskWriter`."""
        self._perform(self._replica.on_persisted(token, now_ms()))

    async def call(self, change: ConfigurationChange | None) -> Reply:
        """Perform an operator request, a read if `change` is None; the reply is 503 on a timeout."""
        token = f"{self._replica.local_member.id}/{next(self._call_numbers)}/{secrets.token_hex(4)}"
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._calls[token] = future
        try:
            self._perform(self._replica.begin_call(token, change, now_ms()))
            return await future
        finally:
            self._calls.pop(token, None)

    async def leave(self, timeout_s: float) -> None:
        """Leave the chain before this process exits, within a time limit.

        The other replicas then don't have to wait for their failure detection, and this copy of the state is
        not removed before enough others have it.
        """
        self._perform(self._replica.leave(now_ms()))
        deadline_ms = now_ms() + 1_000.0 * timeout_s
        while now_ms() < deadline_ms and not self._replica.can_stop():
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._peers.send(action.address, action.message)
                case Persist():
                    self._disk.write(action)
                case Reply():
                    future = self._calls.pop(action.token, None)
                    if future is not None and not future.done():
                        future.set_result(action)
                case Commit():
                    state = action.state
                    self._on_commit(state, self._replica.chain.recent_entry(state.sequence))
