"""Storage of a member's votes, and the order of storing and sending."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ravenshelf.leadership.decisions import Message
from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal

INCARNATION_KEY = "incarnation"
VOTING_KEY = "votes"  # the journal has this key as soon as the member votes


class OutgoingMessage(NamedTuple):
    """A message, and the number of the member that it is for."""

    member: int
    message: Message


class VoteStore:
    """The journal of a member. Opening it counts as a start and increments the incarnation.

    `call_in_loop` runs a callback of the committer's thread in the event loop.
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
        """Return whether a write to the journal has failed; after a failure nothing more is written."""
        return self.journal.failure is not None


class DurableOutbox:
    """Delays messages until everything that was stored with them or before them is on disk.

    `deliver` sends messages at once. `commit_ended` is called at the end of a commit, with the messages that
    waited for it, and with the error if it failed or None if it is on disk.
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
        # The values are kept by key, because only the last of several values of a shard has to be stored.
        self._changes: dict[int | str, Any] = {}
        self._messages: list[OutgoingMessage] = []
        self._commits_in_flight = 0

    def store(self, key: int | str, value: Any) -> None:
        """Store a value with the next flush."""
        self._changes[key] = value

    def send(self, member: int, message: Message) -> None:
        """Send a message after the next flush."""
        self._messages.append(OutgoingMessage(member, message))

    def flush(self) -> None:
        """End a step: commit the values that it stored, and then send its messages.

        Messages are sent at once if the step stored nothing and no earlier commit is in flight.
        """
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
