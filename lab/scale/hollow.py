"""A process with many hollow members: the node's fleet code on real sockets, without a request path."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections import Counter

import uvloop

from dunlinloft.fleet import interface as api
from dunlinloft.node.config import Config, parse_config
from dunlinloft.node.fleet.peers import MemberIdentity, Peers
from lab.scale import talk

DELAY_CHECK_S = 0.05  # interval of checking this process's scheduling delay


class HollowMember(Peers):
    """A member that records the deaths in its view."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, deaths: list[talk.Death]) -> None:
        assert config.fleet is not None
        super().__init__(
            loop, MemberIdentity.from_config(config), config.fleet, lambda number, nodes: None, lambda: 0
        )
        self._deaths = deaths

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.MemberChanged) and action.change is api.MemberChange.DEAD:
            self._deaths.append(talk.Death(self.core.name, action.name, time.monotonic()))
        super()._perform(action)

    def holds(self, name: str) -> bool:
        """Return whether it considers this member alive."""
        member = self.core.view.get(name)
        return member is not None and member.is_alive()


class Hollow:
    """All members of this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._members: dict[str, HollowMember] = {}
        self._deaths: list[talk.Death] = []
        self._dropped_counts: Counter[str] = Counter()  # counts of dropped members
        self._late_s = 0.0
        self._check_delay(loop.time())

    def _check_delay(self, due_s: float) -> None:
        self._late_s = max(self._late_s, self._loop.time() - due_s)
        due_s = self._loop.time() + DELAY_CHECK_S
        self._loop.call_at(due_s, self._check_delay, due_s)

    async def answer(self, command: talk.Command) -> talk.Answer:
        """Execute a command."""
        match command:
            case talk.Hold():
                seen_before = self._look()
                self._hold(command)
                return seen_before
            case talk.Go():
                for member in self._members.values():
                    member.start()
            case talk.Drop():
                member = self._members.pop(command.name)
                self._dropped_counts.update(member.counts)
                member.leave_fleet(handing_over=True)
            case talk.Holders():
                return talk.Holding(sum(member.holds(command.name) for member in self._members.values()))
        return self._look()

    def _hold(self, command: talk.Hold) -> None:
        for member_config in command.members:
            config = parse_config(member_config)
            self._members[config.name] = HollowMember(self._loop, config, self._deaths)
        gc.collect()
        gc.freeze()  # as a node does once it has started

    def _look(self) -> talk.Seen:
        counts = Counter(self._dropped_counts)
        for member in self._members.values():
            counts.update(member.counts)
        late_ms, self._late_s = 1000.0 * self._late_s, 0.0
        seen = talk.Seen(
            time.monotonic(),
            len(self._members),
            time.process_time(),
            talk.memory_mb(),
            late_ms,
            [(f"{member.core.digest():x}", member.core.alive_count()) for member in self._members.values()],
            dict(counts),
            list(self._deaths),
        )
        self._deaths.clear()
        return seen


async def _main(descriptor: int) -> None:
    await talk.answer_all(descriptor, Hollow(asyncio.get_running_loop()).answer)


if __name__ == "__main__":
    uvloop.run(_main(int(sys.argv[1])))
