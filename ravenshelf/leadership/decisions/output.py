"""The interface that decisions call to store votes, send messages and report changes of leases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from ravenshelf.leadership.decisions.claims import LeaseState
    from ravenshelf.leadership.decisions.messages import Message

# a shard's record as `record.Record.pack` returns it; None while the shard has no record yet
PackedRecord: TypeAlias = bytes | None


class LeaseOutput(Protocol):
    """Stores, sends and reports what decisions produce.

    A message that a step sends must not leave before everything that the step stored is on disk.
    """

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Store a shard's vote: its promised term, and the term, number and bytes of its record."""

    def store_voting(self) -> None:
        """Store that this member votes from now on, also after its next start."""

    def send(self, member: int, message: Message) -> None:
        """Send a message to a member, which may be the local one."""

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """Handle a change of the state of this member's lease of a shard."""
