"""The seam through which decisions act."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from ravenshelf.leadership.decisions.claims import LeaseState
    from ravenshelf.leadership.decisions.messages import Message

PackedRecord: TypeAlias = (
    bytes | None
)  # a shard's record (`record.Record.pack`); None where there is none yet


class LeaseOutput(Protocol):
    """Where decisions go. What is sent in a step leaves only once what was stored in it is on disk."""

    def store_vote(self, shard: int, promised: int, term: int, seq: int, record: PackedRecord) -> None:
        """Stores a voter's part of a shard."""

    def store_voting(self) -> None:
        """Stores that this member votes from now on, also after its next start."""

    def send(self, member: int, message: Message) -> None:
        """Sends a message to a member; it may be this one."""

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: PackedRecord) -> None:
        """The state of this member's lease of a shard has changed."""
