"""What the commands read of the admin endpoint's documents, in the field's terms.

The names that a document has for its fields are encoded: `docs/operations.md` lists them, and `--json` prints
the document as it came. Numbers that are printed as they came are `int | float`.
"""

from __future__ import annotations

from msgspec import Struct, field


class Position(Struct, frozen=True):
    """A node's position among the members that share a budget, counted from 0."""

    number: int
    nodes: int


class OwnMember(Struct, frozen=True):
    """What a node says of itself."""

    name: str
    state: str
    conflicting_address: str = field(name="rival")  # of another machine with this name; empty where none


class Divergence(Struct, frozen=True):
    """Members whose view differs from the node's."""

    members: int
    longest_s: int | float


class FleetMember(Struct, frozen=True):
    """A member as the node sees it."""

    name: str
    state: str
    since_s: float
    started_ms: int | float = field(name="life")  # the incarnation: Unix time of its start
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
    """A singleton role and who holds its lease."""

    role: str = field(name="duty")
    owner: str = field(name="holder")  # empty where nobody holds it
    token: int
    remaining_s: float | None = None  # None but at the owner
    unowned_reason: str = field(name="why", default="")


class DivergedGroup(Struct, frozen=True):
    """Members that have had one view, other than the rest, for some time."""

    members: list[str]
    duration_s: float = field(name="for_s")


class LeaseEvent(Struct, frozen=True):
    """A change of a lease that the node took part in."""

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
    """A write that an operator requested, and how far it is."""

    number: int = field(name="entry")
    state: str


class StateTableDocument(Struct, frozen=True):
    """`/admin/ledger`: the state table, complete at its owner alone."""

    own_name: str = field(name="self")
    owner: str = field(name="holder")  # empty where nobody holds the table's lease
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
    """`/admin/voters`: the voters in force, those configured, and members that know others."""

    own_name: str = field(name="self")
    change: int
    voters: list[Voter]
    configured: list[str]
    outdated: dict[str, str] = field(name="behind")  # the voters that a member takes for them, by its name
    change_blocked_reason: str = field(name="why_no_change")
    is_owner: bool = field(name="here")  # of the state table: voters change there
    owner: str = field(name="holder")


class SharedVerdict(Struct, frozen=True):
    """What the fleet holds against a model server."""

    name: str
    avoid: bool
    slowdown: float = field(name="slow")  # against its peers
    classes: list[str]  # of requests that avoid it; all where empty


class QuotaShare(Struct, frozen=True):
    """A tenant's quota and this member's share of it, in requests a second."""

    share_per_s: float = field(name="part_per_s")
    quota_per_s: float


class SharedLimits(Struct, frozen=True):
    """Shares of tenants' quotas."""

    in_use: bool
    fallback: bool  # the demand of too few members is known: even shares
    known: int
    counted: int
    shares: dict[str, QuotaShare] = field(name="parts")
    retry_share: float


class KeyAffinity(Struct, frozen=True):
    """Zones that requests with an idempotency key are pinned to."""

    in_use: bool
    home_zones: list[str] = field(name="homes")
    unavailable: list[str] = field(name="out")
    redirected: list[str] = field(name="open")  # all members know, so that keys go elsewhere
    isolated: bool = field(name="cut_off")
    elsewhere: dict[str, list[str]] = field(name="others")
    counts: dict[str, int]


class SharedRecord(Struct, frozen=True):
    """A replicated record and its age."""

    kind: str
    writer: str
    version: int
    source: str = field(name="from")  # the member that it came from; empty for the node's own
    age_s: float
    bytes: int


class SharedStateDocument(Struct, frozen=True):
    """`/admin/shared`: what members replicate to each other."""

    own_name: str = field(name="self")
    shared_kinds: list[str] = field(name="share")
    verdicts: list[SharedVerdict]
    limits: SharedLimits
    affinity: KeyAffinity
    records: list[SharedRecord]


class DirectoryKnowledge(Struct, frozen=True):
    """What a cell's member knows of its service from the directory."""

    unanswered: int
    age_s: int | float | None  # None before its first answer
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
    splits: int = field(name="cuts")  # and merges
    position: Position = field(name="place")
    fallback: bool
    directory: DirectoryKnowledge


class DirectoryCell(Struct, frozen=True):
    """A cell as the directory knows it."""

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
    learning: bool  # started lately: it may not know all cells yet
    processes: int
    services: dict[str, list[DirectoryCell]]


class ReleaseOrder(Struct, frozen=True):
    """What the release controller told members to obey."""

    release: int  # 0 where there is none
    share: float


class ReleasePlan(Struct, frozen=True):
    """A release in full."""

    id: int
    state: str
    stages: list[float]
    bake_s: float
    stage: int = 0
    share: float = 0.0
    changed_by: str = field(name="by", default="")
    reason: str = field(name="why", default="")


class HarmEvidence(Struct, frozen=True):
    """Evidence of harm in a metric, for a request class."""

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
    """`/admin/releases`: the release, complete at its controller alone."""

    own_name: str = field(name="self")
    is_controller: bool = field(name="steward")
    controller: str = field(name="holder")
    plan: ReleasePlan | None = field(name="release")
    order: ReleaseOrder
    stale: bool  # the controller has not been heard for long
    blocked_reason: str = field(name="held")
    lacks_capacity: bool = field(name="short")
    baked_s: float
    value: float
    evidence: list[HarmEvidence]
    new_servers: int
    servers: int
    history: list[CompletedRelease]
