"""Types of the admin endpoint's documents, with only the fields that commands read.

`field(name=...)` maps a field to its name in the document where they differ: `docs/operations.md` lists those
names, and `--json` prints the document unchanged. Numbers that are printed unformatted are `int | float`.
"""

from __future__ import annotations

from msgspec import Struct, field


class Position(Struct, frozen=True):
    """A node's index (from 0) among the members that share a budget, and their number."""

    number: int
    nodes: int


class OwnMember(Struct, frozen=True):
    """The state that a node reports of itself."""

    name: str
    state: str
    conflicting_address: str = field(name="rival")  # of another machine with this name; empty if none


class Divergence(Struct, frozen=True):
    """Members whose membership view differs from the node's."""

    members: int
    longest_s: int | float


class FleetMember(Struct, frozen=True):
    """A member in the node's membership view."""

    name: str
    state: str
    since_s: float
    started_ms: int | float = field(name="life")  # Unix time of its start, which identifies the incarnation
    revision: int
    accusers: list[str]
    rtt_ms: float
    agrees: bool
    metadata: dict[str, object] = field(name="facts")


class MembershipDocument(Struct, frozen=True):
    """`/admin/fleet`: the node's view of the membership."""

    fleet: str
    own: OwnMember = field(name="self")
    alive_members: int = field(name="members_alive")
    position: Position = field(name="place")
    divergence: Divergence
    health: int | float  # Lifeguard's local health score; 0 is healthy
    messages_s: float
    bytes_s: float
    members: list[FleetMember]


class LeaseRow(Struct, frozen=True):
    """A singleton role and the holder of its lease."""

    role: str = field(name="duty")
    owner: str = field(name="holder")  # empty if nobody holds it
    token: int
    remaining_s: float | None = None  # known only at the owner
    unowned_reason: str = field(name="why", default="")


class DivergedGroup(Struct, frozen=True):
    """Members that share a view which differs from the rest of the fleet's."""

    members: list[str]
    duration_s: float = field(name="for_s")


class LeaseEvent(Struct, frozen=True):
    """A lease change that the node took part in."""

    time: str
    event: str = field(name="what")
    role: str = field(name="duty")
    token: int
    reason: str = field(name="why")


class LeasesDocument(Struct, frozen=True):
    """`/admin/duties`: the leases of the fleet's singleton roles."""

    own_name: str = field(name="self")
    voters: list[str]
    may_vote: bool = field(name="votes")
    leases: list[LeaseRow] = field(name="duties")
    diverged_groups: list[DivergedGroup] = field(name="divergence")
    history: list[LeaseEvent]


class TableRow(Struct, frozen=True):
    """A row of the replicated state table."""

    key: str
    value: str
    token: int


class TableEntry(Struct, frozen=True):
    """A write that an operator requested, and its state."""

    number: int = field(name="entry")
    state: str


class StateTableDocument(Struct, frozen=True):
    """`/admin/ledger`: the replicated state table, complete only at its owner."""

    own_name: str = field(name="self")
    owner: str = field(name="holder")  # empty if nobody holds the table's lease
    is_owner: bool = field(name="here")
    rows_lost: bool = field(name="lost")
    rows: list[TableRow]
    step: str
    token: int
    entries: list[TableEntry]


class Voter(Struct, frozen=True):
    """A member that votes on leases."""

    name: str
    alive: bool = field(name="there")


class VotersDocument(Struct, frozen=True):
    """`/admin/voters`: the current voters, the configured ones, and members with an outdated voter list."""

    own_name: str = field(name="self")
    change: int
    voters: list[Voter]
    configured: list[str]
    outdated: dict[str, str] = field(name="behind")  # by member name: the voters that it assumes
    change_blocked_reason: str = field(name="why_no_change")
    is_owner: bool = field(name="here")  # of the state table, which applies voter changes
    owner: str = field(name="holder")


class SharedVerdict(Struct, frozen=True):
    """The fleet's outlier verdict on a model server."""

    name: str
    avoid: bool
    slowdown: float = field(name="slow")  # factor relative to its peers
    classes: list[str]  # request classes that avoid it; empty means all


class QuotaShare(Struct, frozen=True):
    """A tenant's quota and this member's share of it, in requests per second."""

    share_per_s: float = field(name="part_per_s")
    quota_per_s: float


class SharedLimits(Struct, frozen=True):
    """This member's shares of tenants' quotas and of the retry limit."""

    in_use: bool
    fallback: bool  # even shares, because the demand of too few members is known
    known: int
    counted: int
    shares: dict[str, QuotaShare] = field(name="parts")
    retry_share: float


class KeyAffinity(Struct, frozen=True):
    """Zones that requests with an idempotency key are pinned to."""

    in_use: bool
    home_zones: list[str] = field(name="homes")
    unavailable: list[str] = field(name="out")
    redirected: list[str] = field(name="open")  # known as failed to all members: keys use other zones
    isolated: bool = field(name="cut_off")
    elsewhere: dict[str, list[str]] = field(name="others")
    counts: dict[str, int]


class SharedRecord(Struct, frozen=True):
    """A replicated record and its age."""

    kind: str
    writer: str
    version: int
    source: str = field(name="from")  # the member that relayed it; empty for the node's own
    age_s: float
    bytes: int


class SharedStateDocument(Struct, frozen=True):
    """`/admin/shared`: the state that members replicate to each other."""

    own_name: str = field(name="self")
    shared_kinds: list[str] = field(name="share")
    verdicts: list[SharedVerdict]
    limits: SharedLimits
    affinity: KeyAffinity
    records: list[SharedRecord]


class DirectoryKnowledge(Struct, frozen=True):
    """What a cell member has learned about its service from the directory."""

    unanswered: int
    age_s: int | float | None  # None before its first response
    bound_s: float
    service_members: int | None
    cells: int | None


class CellDocument(Struct, frozen=True):
    """`/admin/fleet/cell`: a node's cell."""

    service: str
    region: str
    cell: str
    epoch: int
    members: int
    max_members: int = field(name="most")
    reporter: bool
    splits: int = field(name="cuts")  # including merges
    position: Position = field(name="place")
    fallback: bool
    directory: DirectoryKnowledge


class DirectoryCell(Struct, frozen=True):
    """A cell in the directory's view."""

    region: str
    cell: str
    epoch: int
    members: int
    counted: int
    load: float
    program: str
    age_s: float
    stale: bool


class DirectoryDocument(Struct, frozen=True):
    """`/admin/directory`: the cells of all services."""

    name: str
    fleet: str
    learning: bool  # started recently and may not know all cells yet
    processes: int
    services: dict[str, list[DirectoryCell]]


class ReleaseOrder(Struct, frozen=True):
    """The traffic share of new servers that the release controller tells members to apply."""

    release: int  # 0 if there is none
    share: float


class ReleasePlan(Struct, frozen=True):
    """A release with its stages and progress."""

    id: int
    state: str
    stages: list[float]
    bake_s: float
    stage: int = 0
    share: float = 0.0
    changed_by: str = field(name="by", default="")
    reason: str = field(name="why", default="")


class HarmEvidence(Struct, frozen=True):
    """Evidence of a regression in a metric of a request class, new servers against old."""

    metric: str
    request_class: str = field(name="class")
    new: int
    new_bad: int
    old: int
    old_bad: int
    value: float


class CompletedRelease(Struct, frozen=True):
    """A release that has ended."""

    id: int
    state: str
    stage: int
    changed_by: str = field(name="by")
    reason: str = field(name="why")
    completed_s: int | float = field(name="at_s")  # Unix time


class ReleaseDocument(Struct, frozen=True):
    """`/admin/releases`: the current release, complete only at its controller."""

    own_name: str = field(name="self")
    is_controller: bool = field(name="steward")
    controller: str = field(name="holder")
    plan: ReleasePlan | None = field(name="release")
    order: ReleaseOrder
    stale: bool  # the controller has not been heard from for too long
    blocked_reason: str = field(name="held")
    lacks_capacity: bool = field(name="short")
    baked_s: float
    value: float
    evidence: list[HarmEvidence]
    new_servers: int
    servers: int
    history: list[CompletedRelease]
