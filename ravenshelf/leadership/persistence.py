"""A member's votes on disk, and the order between what is stored and what is sent."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ravenshelf.leadership.decisions import Message
from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal

INCARNATION_KEY = "incarnation"
VOTING_KEY = "votes"  # there once the member votes


class OutgoingMessage(NamedTuple):
    """A message and the number of the member that it is for."""

    member: int
    message: Message


class VoteStore:
    """The journal of a member. Opening it counts as a start: the incarnation goes up.

    `call_in_loop` brings a call from the committer's thread to the event loop.
    """

    def __init__(
        self, folder: Path, cluster: str, name: str, call_in_loop: Callable[[Callable[[], None]], None]
    ) -> None:
        self.journal = Journal(folder / "leadership", {"cluster": cluster, "member": name})
        entries: Mapping[Any, Any] = self.journal.entries
        self.votes = {key: tuple(value) for key, value in entries.items() if isinstance(key, int)}
        self.is_voting = VOTING_KEY in entries
        self.incarnation = int(entries.get(INCARNATION_KEY, 0)) + 1
        self.journal.append([(INCARNATION_KEY, self.incarnation)])
        self.committer = Committer(self.journal, call_in_loop)

    def has_failed(self) -> bool:
        """Whether the disk takes no more."""
        return self.journal.failure is not None


class DurableOutbox:
    """Holds messages back until everything that was stored with them or before them is on disk.

    `deliver` sends messages. `commit_ended` is called with the messages of a commit once it is on disk, or
    with the error.
    """

    def __init__(
        self,
        committer: Committer,
        deliver: Callable[[list[OutgoingMessage]], None],
        commit_ended: Callable[[list[OutgoingMessage], Exception | None], None],
    ) -> None:
        self._committer = committer
        self._deliver = deliver
        self._commit_ended = commit_ended
        self._changes: dict[int | str, Any] = {}  # of a shard only the last state counts
        self._messages: list[OutgoingMessage] = []
        self._commits_in_flight = 0

    def store(self, key: int | str, value: Any) -> None:
        """Stores a value with the next flush."""
        self._changes[key] = value

    def send(self, member: int, message: Message) -> None:
        """Sends a message after the next flush."""
        self._messages.append(OutgoingMessage(member, message))

    def flush(self) -> None:
        """Ends a step: what it stored goes to disk, what it sent follows."""
        changes = self._changes
        messages = self._messages
        self._changes = {}
        self._messages = []
        if not changes and not self._commits_in_flight:
            self._deliver(messages)
        elif changes or messages:
            self._commits_in_flight += 1
            self._committer.commit(list(changes.items()), lambda error: self._on_commit(messages, error))

    def _on_commit(self, messages: list[OutgoingMessage], error: Exception | None) -> None:
        self._commits_in_flight -= 1
        self._commit_ended(messages, error)
