"""What data-plane nodes are sent on their streams: configurations, servers, and the replicas there are.

A node's stream either receives configurations, as deltas where it has the one before, or is only notified of
versions and fetches what it lacks (`NodeSubscription.receives_configurations`).
"""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.state import ChainState, ChangeKind, LogEntry
from dunlinloft.coordination.stream import (
    ConfigurationAnnouncement,
    ConfigurationDelta,
    ConfigurationId,
    ControlPlaneView,
    FullConfiguration,
    ServerSnapshot,
    ServerSnapshotComplete,
    ServerUpdates,
)
from dunlinloft.transport import message_stream


@dataclass(slots=True, eq=False)
class NodeSubscription:
    """The stream of one subscribed node."""

    node: str
    writer: message_stream.MessageWriter
    sent_id: ConfigurationId  # of the configuration sent last
    acknowledged_id: ConfigurationId  # of the configuration that it said it has in force
    receives_configurations: bool  # else versions alone


class NodePublisher:
    """Keeps all subscribed nodes up to date.

    Fed by `CommitHandler` (configurations), `ServerRegistrar` (servers) and the periodic loops (replicas,
    confirmation); subscriptions come from `StreamSession`.
    """

    def __init__(self) -> None:
        self.subscriptions: dict[NodeSubscription, None] = {}  # in the order of subscribing
        self._state = ChainState()
        self._id = ConfigurationId()
        self._base_id = ConfigurationId()  # of the configuration that `_update` changed
        self._update: LogEntry | None = None
        self._confirmed = False
        self._frames_by_form: dict[bool, bytes] = {}  # of the state: True as a delta, False in full
        self._view: ControlPlaneView | None = None

    def subscribe(self, subscription: NodeSubscription, servers: ServerSnapshot) -> None:
        """Add a node, and send it what it lacks: the replicas, servers, then the configuration."""
        self.subscriptions[subscription] = None
        if self._view is not None:
            subscription.writer.send(self._view)
        subscription.writer.send(servers)
        if subscription.receives_configurations:
            self._send_state(subscription)
        elif self._id.version:
            subscription.writer.send(ConfigurationAnnouncement(self._id))

    def unsubscribe(self, subscription: NodeSubscription) -> None:
        """Remove a node whose stream ended."""
        self.subscriptions.pop(subscription, None)

    def publish_state(self, state: ChainState, entry: LogEntry | None) -> None:
        """Publish a newly committed state.

        Parameters
        ----------
        entry:
            What made the state of the one before, where that is known: an update that directly follows the
            state published last is sent as a delta.
        """
        if state.sequence <= self._state.sequence:
            return
        published_id = ConfigurationId(state.version, state.configuration_digest)
        if published_id == self._id:  # the entry only recorded that a change was rejected
            self._state = state
            return
        is_next_state = state.sequence == self._state.sequence + 1
        is_update = entry is not None and entry.change.kind == ChangeKind.UPDATE and is_next_state
        self._update = entry if is_update else None
        self._base_id = self._id
        self._state = state
        self._id = published_id
        self._frames_by_form = {}
        self._publish_current()

    def set_confirmed(self, confirmed: bool) -> None:
        """Set whether a majority confirms the state of this replica.

        A node that starts may wait for a confirmed configuration, so what was sent unconfirmed and has not
        been acknowledged is resent once it is confirmed.
        """
        if confirmed == self._confirmed:
            return
        self._confirmed = confirmed
        self._frames_by_form = {}
        if confirmed and self._id.version:
            for subscription in self.subscriptions:
                if subscription.receives_configurations and subscription.acknowledged_id != self._id:
                    subscription.sent_id = subscription.acknowledged_id
            self._publish_current()

    def on_fetch(self, subscription: NodeSubscription, current_id: ConfigurationId) -> None:
        """Send the state to a node that was notified of it, lacks it, and has `current_id` in force."""
        subscription.sent_id = current_id
        self._send_state(subscription)

    def publish_servers(self, update: ServerUpdates) -> None:
        """Publish which servers were added, changed or removed, if any were."""
        if update.changed or update.removed:
            self.broadcast(message_stream.encode_frame(update))

    def publish_view(self, view: ControlPlaneView) -> None:
        """Publish the control plane's membership, where it changed."""
        if view != self._view:
            self._view = view
            self.broadcast(message_stream.encode_frame(view))

    def publish_servers_complete(self) -> None:
        """Publish that every live server has had the time to register here."""
        self.broadcast(message_stream.encode_frame(ServerSnapshotComplete()))

    def broadcast(self, frame: bytes) -> None:
        """Send one encoded message to every node."""
        for subscription in self.subscriptions:
            subscription.writer.send_frame(frame)

    def _publish_current(self) -> None:
        announcement = message_stream.encode_frame(ConfigurationAnnouncement(self._id))
        for subscription in self.subscriptions:
            if subscription.receives_configurations:
                self._send_state(subscription)
            else:
                subscription.writer.send_frame(announcement)

    def _send_state(self, subscription: NodeSubscription) -> None:
        if not self._id.version or not self._id.supersedes(subscription.sent_id, self._confirmed):
            return
        as_delta = self._update is not None and self._base_id == subscription.sent_id
        frame = self._frames_by_form.get(as_delta)
        if frame is None:
            frame = message_stream.encode_frame(self._state_message(as_delta))
            self._frames_by_form[as_delta] = frame
        subscription.sent_id = self._id
        subscription.writer.send_frame(frame)

    def _state_message(self, as_delta: bool) -> ConfigurationDelta | FullConfiguration:
        if as_delta and self._update is not None:
            return ConfigurationDelta(self._base_id, self._id, self._confirmed, self._update.change.body)
        return FullConfiguration(self._id, self._confirmed, self._state.document)
