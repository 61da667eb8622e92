"""Publishes configurations, servers and the control plane's membership to data-plane nodes on their streams.

A stream either receives configurations, as a delta if the node has the previous one, or only announcements
of versions, in which case the node fetches what it lacks (`NodeSubscription.receives_configurations`).
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
    sent_id: ConfigurationId  # configuration sent last
    acknowledged_id: ConfigurationId  # configuration that the node reported as applied
    receives_configurations: bool  # if false, only version announcements


class NodePublisher:
    """Keeps all subscribed nodes up to date.

    `CommitHandler` publishes configurations, `ServerRegistrar` servers, and the periodic loops the replicas
    and the confirmation state; `StreamSession` adds and removes subscriptions.
    """

    def __init__(self) -> None:
        self.subscriptions: dict[NodeSubscription, None] = {}  # an ordered set, in subscription order
        self._state = ChainState()
        self._id = ConfigurationId()
        self._base_id = ConfigurationId()  # configuration that `_update` applies to
        self._update: LogEntry | None = None
        self._confirmed = False
        self._frames_by_form: dict[bool, bytes] = {}  # encoded state; True: delta, False: full
        self._view: ControlPlaneView | None = None

    def subscribe(self, subscription: NodeSubscription, servers: ServerSnapshot) -> None:
        """Add a node and send it, in this order, the replicas, the servers and the configuration."""
        self.subscriptions[subscription] = None
        if self._view is not None:
            subscription.writer.send(self._view)
        subscription.writer.send(servers)
        if subscription.receives_configurations:
            self._send_state(subscription)
        elif self._id.version:
            subscription.writer.send(ConfigurationAnnouncement(self._id))

    def unsubscribe(self, subscription: NodeSubscription) -> None:
        """Remove a node whose stream has closed."""
        self.subscriptions.pop(subscription, None)

    def publish_state(self, state: ChainState, entry: LogEntry | None) -> None:
        """Publish a newly committed state.

        Parameters
        ----------
        entry:
            The log entry that produced the state, if known. An update that directly follows the last
            published state is sent as a delta.
        """
        if state.sequence <= self._state.sequence:
            return
        published_id = ConfigurationId(state.version, state.configuration_digest)
        if published_id == self._id:  # the entry only records a rejected change
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

        A starting node may wait for a confirmed configuration. Therefore a configuration that was sent
        unconfirmed and has not been acknowledged is resent once it is confirmed.
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
        """Send the state to a node that requested it and has applied `current_id`."""
        subscription.sent_id = current_id
        self._send_state(subscription)

    def publish_servers(self, update: ServerUpdates) -> None:
        """Publish which servers were added, changed or removed, if any."""
        if update.changed or update.removed:
            self.broadcast(message_stream.encode_frame(update))

    def publish_view(self, view: ControlPlaneView) -> None:
        """Publish the control plane's membership if it has changed."""
        if view != self._view:
            self._view = view
            self.broadcast(message_stream.encode_frame(view))

    def publish_servers_complete(self) -> None:
        """Publish that every live server has had enough time to register here."""
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
