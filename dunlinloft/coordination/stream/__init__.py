"""Messages between control planes and data-plane nodes, and between role owners, encoded as JSON lines.

Each module defines the messages of one concern; this one exports them all, and the unions that the two
programs decode. Each class's `tag` and each field's `name` determine the encoded form. They must not change,
nor may the order of the fields, because replicas and nodes of different releases run side by side.
"""

from dunlinloft.coordination.messages import ReplicaMessage
from dunlinloft.coordination.stream.configuration import (
    ConfigurationAnnouncement,
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationId,
    FetchConfiguration,
    FullConfiguration,
)
from dunlinloft.coordination.stream.placement import (
    LocalPlacement,
    PlacementCompleted,
    PlacementQuery,
    PlacementReply,
    PrefillCompleted,
)
from dunlinloft.coordination.stream.quota import (
    QuotaGrant,
    QuotaHandover,
    QuotaHoldingsReport,
    QuotaRequest,
)
from dunlinloft.coordination.stream.servers import (
    Deregistration,
    ServerHeartbeats,
    ServerHeartbeatsAck,
    ServerRecord,
    ServerSnapshot,
    ServerSnapshotComplete,
    ServerUpdates,
)
from dunlinloft.coordination.stream.subscription import (
    ControlKeepalive,
    ControlPlaneView,
    NodeKeepalive,
    NodeLiveness,
    NodeLivenessUpdate,
    NodeShutdown,
    Subscribe,
)

NodeToControl = (
    Subscribe
    | QuotaHoldingsReport
    | FetchConfiguration
    | ConfigurationApplied
    | NodeKeepalive
    | NodeShutdown
    | QuotaRequest
    | PlacementQuery
    | LocalPlacement
    | PrefillCompleted
    | PlacementCompleted
)
ControlToNode = (
    ControlPlaneView
    | FullConfiguration
    | ConfigurationDelta
    | ConfigurationAnnouncement
    | ServerSnapshot
    | ServerSnapshotComplete
    | ServerUpdates
    | QuotaGrant
    | PlacementReply
    | ControlKeepalive
)
# Every message that a control plane accepts from replicas and nodes.
ControlPlaneInbound = (
    ReplicaMessage
    | QuotaHandover
    | ServerHeartbeats
    | ServerHeartbeatsAck
    | NodeLivenessUpdate
    | NodeToControl
)

__all__ = [
    "ConfigurationAnnouncement",
    "ConfigurationApplied",
    "ConfigurationDelta",
    "ConfigurationId",
    "ControlKeepalive",
    "ControlPlaneInbound",
    "ControlPlaneView",
    "ControlToNode",
    "Deregistration",
    "FetchConfiguration",
    "FullConfiguration",
    "LocalPlacement",
    "NodeKeepalive",
    "NodeLiveness",
    "NodeLivenessUpdate",
    "NodeShutdown",
    "NodeToControl",
    "PlacementCompleted",
    "PlacementQuery",
    "PlacementReply",
    "PrefillCompleted",
    "QuotaGrant",
    "QuotaHandover",
    "QuotaHoldingsReport",
    "QuotaRequest",
    "ServerHeartbeats",
    "ServerHeartbeatsAck",
    "ServerRecord",
    "ServerSnapshot",
    "ServerSnapshotComplete",
    "ServerUpdates",
    "Subscribe",
]
