"""What voters and candidates tell each other about duties, and how a host speaks to their cores.

A ballot orders the tries for a duty: a round, then the candidate's name and life, so that none is used
twice, not even by a process that has forgotten all.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct

from dunlinloft.fleet.timers import SetTimer as SetTimer
from dunlinloft.fleet.timers import TimerFired as TimerFired

Ballot = tuple[int, str, int]
NONE: Ballot = (0, "", 0)


class Voters(Struct, array_like=True, gc=False, frozen=True):
    """Who votes, as of the `epoch`-th change; the 0th is what the configuration names."""

    epoch: int
    names: tuple[str, ...]

    def majority(self) -> int:
        """How many of them have to agree."""
        return majority(len(self.names))


def majority(count: int) -> int:
    """Of so many: any two majorities share one."""
    return count // 2 + 1


class Lease(Struct, array_like=True, gc=False):
    """What a voter has accepted: whose (by the ballot), with which token, and for how many ms more."""

    ballot: Ballot
    token: int
    left_ms: float


class Prepare(Struct, array_like=True, tag=11, gc=False):
    """May I try?"""

    duty: str
    ballot: Ballot
    epoch: int = 0  # of the voters that are asked


class Promise(Struct, array_like=True, tag=12, gc=False):
    """You may (`ok`), or I have promised `promised`; what I hold accepted, and the latest there was."""

    duty: str
    ballot: Ballot
    ok: bool
    promised: Ballot
    lease: Lease | None
    token: int  # the greatest that was accepted here
    state: bytes  # of that tenure's work


class Propose(Struct, array_like=True, tag=13, gc=False):
    """Accept that I hold it, for this term from when you read this."""

    duty: str
    ballot: Ballot
    term_ms: float
    token: int
    state: bytes
    epoch: int = 0


class Accepted(Struct, array_like=True, tag=14, gc=False):
    """I do (`ok`), or I have promised another."""

    duty: str
    ballot: Ballot
    ok: bool
    promised: Ballot


class Release(Struct, array_like=True, tag=15, gc=False):
    """I hold it no more: what you accepted under this ballot is over. `to` should take it."""

    duty: str
    ballot: Ballot
    to: str
    token: int
    state: bytes


class Recall(Struct, array_like=True, tag=16, gc=False):
    """I am a voter that has forgotten all: which tokens were there?"""

    duty: str
    number: int
    epoch: int = 0


class Recalled(Struct, array_like=True, tag=17, gc=False):
    """The greatest token of each duty that this voter knows of, and whether it remembers from before."""

    duty: str
    number: int
    remembers: bool
    tokens: dict[str, int]
    epoch: int = 0  # of the voters that it knows of


class Adopt(Struct, array_like=True, tag=18, gc=False):
    """These are the voters. With a number: answer, and know these tokens."""

    duty: str
    voters: Voters
    number: int = 0
    tokens: dict[str, int] = {}


class Adopted(Struct, array_like=True, tag=19, gc=False):
    """They are, to me too; what I know of tokens, and whether I remember from before."""

    duty: str
    epoch: int
    number: int
    remembers: bool
    tokens: dict[str, int]
    life: int


class LedgerRow(Struct, array_like=True, gc=False, frozen=True):
    """A row of the ledger, under the token of the tenure that wrote it, the `seq`-th of that tenure."""

    key: str
    token: int
    seq: int
    value: bytes

    def stamp(self) -> tuple[int, int]:
        """Of two rows of a key the one with the greater stamp holds."""
        return self.token, self.seq


class LedgerRead(Struct, array_like=True, tag=31, gc=False):
    """What do you keep beyond this key? With a token: refuse lower ones from now on."""

    duty: str
    token: int
    try_: int
    after: str
    epoch: int = 0


class LedgerPage(Struct, array_like=True, tag=32, gc=False):
    """This, and whether there is more; under which base, after which token was shown.

    `lost`: rows that were acknowledged may be gone. `blank`: I have started anew and know nothing.
    """

    duty: str
    token: int
    try_: int
    after: str
    base: int
    shown: int
    lost: bool
    blank: bool
    rows: list[LedgerRow]
    more: bool
    life: int  # of the voter that says so: a promise is its, and not that of whoever comes after it


class LedgerWrite(Struct, array_like=True, tag=33, gc=False):
    """Keep these: page `page` of `pages` of a new base, or, with no pages, more rows of the base.

    `life`: the base is for a voter that has started anew, and for this life of it alone.
    """

    duty: str
    token: int
    number: int
    page: int
    pages: int
    lost: bool
    rows: list[LedgerRow]
    life: int = 0
    epoch: int = 0


class LedgerStored(Struct, array_like=True, tag=34, gc=False):
    """I keep what that message had."""

    duty: str
    token: int
    number: int
    life: int


Message = (
    Prepare
    | Promise
    | Propose
    | Accepted
    | Release
    | Recall
    | Recalled
    | Adopt
    | Adopted
    | LedgerRead
    | LedgerPage
    | LedgerWrite
    | LedgerStored
)


# Events


@dataclass(slots=True)
class Heard:
    """A message has come from the process of this name."""

    message: Message
    sender: str


@dataclass(slots=True)
class Seen:
    """Who is there, in order of preference among those who may hold duties, and who claims which duty."""

    here: frozenset[str]
    claims: dict[str, tuple[str, int]]  # by duty: holder and token
    well: bool = True  # whether this process gets its turns: else it does not stand
    zones: dict[str, str] = field(default_factory=dict)  # by member
    voters: Voters | None = None  # of those that members say vote, the latest


@dataclass(slots=True)
class HandOver:
    """Operators, or a drain, want a duty elsewhere; "" for whoever is next."""

    duty: str
    to: str = ""


@dataclass(slots=True)
class Work:
    """The small state of a duty's work has changed; it goes along to a successor."""

    duty: str
    state: bytes


@dataclass(slots=True)
class Enter:
    """Operators, or a part of the fleet, want a row in the ledger; `Settled(wanted)` answers."""

    key: str
    value: bytes
    wanted: int


@dataclass(slots=True)
class ChangeVoters:
    """Operators want one more voter, or one fewer; `Settled(wanted)` answers."""

    add: str
    remove: str
    wanted: int


Event = Heard | TimerFired | Seen | HandOver | Work | Enter | ChangeVoters


# Actions


@dataclass(slots=True)
class Tell:
    """Send a message to the process of this name."""

    name: str
    message: Message


@dataclass(slots=True)
class Start:
    """The duty is this process's from now on; whoever acts for it shows the token."""

    duty: str
    token: int
    state: bytes


@dataclass(slots=True)
class Stop:
    """It is no more: stop at once, also in the middle of work."""

    duty: str
    token: int
    why: str


@dataclass(slots=True)
class Opened:
    """The ledger takes rows: so many were found; `lost`: some that were acknowledged may be gone."""

    token: int
    rows: int
    lost: bool


@dataclass(slots=True)
class Settled:
    """What becomes of `Enter(wanted)`: kept by a majority; else not known to be kept, or `why` not taken."""

    wanted: int
    kept: bool
    why: str = ""


@dataclass(slots=True)
class Elected:
    """These vote from now on, as far as this process knows."""

    voters: Voters


Action = Tell | SetTimer | Start | Stop | Opened | Settled | Elected
