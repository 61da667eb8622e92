"""Chain replication: when a head or tail may commit, and which entries a successor appends."""

from __future__ import annotations

import pytest

from dunlinloft.coordination import view_planning
from dunlinloft.coordination.actions import Send
from dunlinloft.coordination.chain import ChainReplica
from dunlinloft.coordination.chain_messages import AppendEntries
from dunlinloft.coordination.history import is_next_entry, next_entry, state_after
from dunlinloft.coordination.state import ChainState
from dunlinloft.coordination.views import View, initial_view
from lab.control.invariants import InvariantViolation
from lab.control.operators import empty_change
from tests.replicas import chain_replica, send_changes_to_head_without_live_successor


def test_a_head_without_a_synced_successor_commits_nothing_for_any_chain_length() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
    head = view.chain[0]
    chain, _ = chain_replica(View(2, view.roster, (head,), 1), head, ChainState())
    assert not chain.fully_committed
    assert not chain.is_tail
    chain.append(next_entry(ChainState(), 1, empty_change(1, 0)))
    assert chain.committed.sequence == 0
    # A longer chain makes no difference while its second member is still catching up.
    chain.enter_epoch(View(3, view.roster, view.chain, 1))
    assert not chain.fully_committed


def test_an_entry_of_another_history_is_not_appended() -> None:
    view = initial_view(("10.0.0.1:1", "10.0.0.2:1"))
    head, tail = view.chain
    local_state = state_after(ChainState(), next_entry(ChainState(), 1, empty_change(1, 0, "ours")))
    other_state = state_after(ChainState(), next_entry(ChainState(), 1, empty_change(1, 0, "theirs")))
    chain, actions = chain_replica(view, tail, local_state)
    entry = next_entry(other_state, 2, empty_change(2, 1))
    assert not is_next_entry(local_state, entry)
    chain.on_append_entries(AppendEntries(head, 1, (entry,)))
    assert chain.state == local_state
    assert any(isinstance(action, Send) for action in actions), "it sends its position instead"


def test_a_head_without_a_synced_successor_acknowledges_nothing() -> None:
    send_changes_to_head_without_live_successor()


def test_a_commit_by_chain_length_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def is_last_in_chain(self: ChainReplica) -> bool:
        return self.synced and self._successor is None

    monkeypatch.setattr(ChainReplica, "is_tail", property(is_last_in_chain))
    # Chains of one member are normally not proposed, so the injected bug has to allow them.
    monkeypatch.setattr(view_planning, "can_commit", lambda chain, _: bool(chain))
    with pytest.raises(InvariantViolation, match="committed with 1 copies"):
        send_changes_to_head_without_live_successor()
