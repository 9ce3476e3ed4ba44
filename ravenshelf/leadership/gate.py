"""Queue of a shard's commands that wait for its record, and the order in which they are sent.

No I/O, no clock.

A command that admits more requests or more retries than the shard's record permits is sent only after a
quorum has accepted a record that contains it. The same holds for a command that ejects a draining endpoint,
so that a successor with an older endpoint list does not readmit the endpoint. All other commands are sent at
once. But no command for a proxy is sent before the earlier ones for that proxy: a table must not arrive
before the admission level that was commanded before it.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ravenshelf.leadership.record import Record

# The largest number of commands that wait for one proxy. Further commands are dropped, and the proxy is bound
# again once that is permitted.
WAITING_LIMIT = 64
# NOT_RECORDED and NO_RECORD are used in place of the number of a record.
NOT_RECORDED = -1  # the record that the command requires is not written yet
NO_RECORD = 0  # the command requires no record


@dataclass(slots=True)
class RecordRequirements:
    """What a record has to contain before a command is sent.

    Attributes:
        levels: Tuples of a traffic group, its admission level and its retry mode.
        drains: Tuples of an endpoint and the version of the endpoint list that drained it.
    """

    levels: list[tuple[str, float, int]] = field(default_factory=list)
    drains: list[tuple[str, int]] = field(default_factory=list)

    def is_met_by(self, record: Record) -> bool:
        """Return whether the record contains all levels and drains."""
        return all(record.covers(*level) for level in self.levels) and all(
            record.drained_at.get(endpoint, -1) >= version for endpoint, version in self.drains
        )

    def is_empty(self) -> bool:
        """Return whether no record is required."""
        return not self.levels and not self.drains


@dataclass(slots=True)
class WaitingCommand:
    """A command that has not been sent to its proxy yet.

    Attributes:
        proxy: The proxy that the command is for.
        payload: The content of the command, which the queue passes on unread.
        requirements: What the record has to contain.
        seq: The number of the record that the command waits for. With NO_RECORD it waits only for the
            earlier commands to the same proxy.
    """

    proxy: int
    payload: Any
    requirements: RecordRequirements
    seq: int


class ShardGate:
    """The waiting commands of one shard.

    Attributes:
        record: The record that was sent to the voters last.
        seq: The number of that record.
        committed_seq: The number of the newest record that a quorum has accepted.
        queues: The waiting commands by proxy, in the order in which they are sent.
        overflowed_proxies: Proxies that have to be bound again, because a command for them was dropped.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 0
        self.committed_seq = 0
        self.queues: dict[int, deque[WaitingCommand]] = {}
        self.overflowed_proxies: set[int] = set()

    def submit(self, proxy: int, payload: Any, requirements: RecordRequirements) -> bool:
        """Add a command, or drop it and mark its proxy as overflowed if too many are waiting.

        Returns:
            True if the record has to be extended: call `extended_record`, then `record_written`.
        """
        queue = self.queues.setdefault(proxy, deque())
        if len(queue) >= WAITING_LIMIT:
            self.overflowed_proxies.add(proxy)
            return False
        is_recorded = requirements.is_met_by(self.record)
        recorded_seq = NO_RECORD if requirements.is_empty() else self.seq
        seq = recorded_seq if is_recorded else NOT_RECORDED
        queue.append(WaitingCommand(proxy, payload, requirements, seq))
        return not is_recorded

    def extended_record(self, warming_since: Mapping[str, int]) -> Record:
        """Return a copy of the record that meets the requirements of all waiting commands.

        Args:
            warming_since: The start of each endpoint that is warming up now, microseconds, by endpoint.
        """
        new_record = self.record.copy()
        for command in self._commands():
            if command.seq != NOT_RECORDED:
                continue
            for level in command.requirements.levels:
                new_record.admit(*level)
            for endpoint, version in command.requirements.drains:
                new_record.drained_at[endpoint] = max(version, new_record.drained_at.get(endpoint, -1))
        new_record.warming_since = dict(warming_since)
        return new_record

    def record_written(self, record: Record, seq: int) -> None:
        """Make commands wait for the record that was sent to the voters as number `seq`."""
        self.record = record
        self.seq = seq
        for command in self._commands():
            if command.seq == NOT_RECORDED and command.requirements.is_met_by(record):
                command.seq = seq

    def lowered_record(self, sent_commands: Iterable[WaitingCommand]) -> Record | None:
        """Return the record with the lower admission levels of sent commands, or None if none is lower.

        A successor would admit too much if the record still had the earlier, higher levels.
        """
        record = self.record.copy()
        is_changed = False
        for command in sent_commands:
            for group, level, _ in command.requirements.levels:
                if record.lower(group, level):
                    is_changed = True
        return record if is_changed else None

    def end_drains(self, endpoints: Iterable[str]) -> bool:
        """Remove the drains of endpoints that a newer list shows as ready.

        Returns:
            Whether the record changed.
        """
        ready_endpoints = [endpoint for endpoint in endpoints if endpoint in self.record.drained_at]
        for endpoint in ready_endpoints:
            del self.record.drained_at[endpoint]
        return bool(ready_endpoints)

    def begin_term(self, record: Record) -> bool:
        """Continue in a later term of the lease, whose first record is `record`.

        Returns:
            True if that record has to be extended for the commands that are waiting.
        """
        self.record = record
        self.seq = 1
        self.committed_seq = 1
        must_extend = False
        for command in self._commands():
            if not command.requirements.is_met_by(record):
                command.seq = NOT_RECORDED
                must_extend = True
            elif command.seq != NO_RECORD:
                command.seq = 1
        return must_extend

    def pop_permitted(
        self, committed_seq: int, is_permitted: Callable[[WaitingCommand], bool]
    ) -> list[WaitingCommand]:
        """Remove and return the commands that can be sent now.

        The commands of a proxy are sent in order. The first one that is not permitted, or whose record is not
        committed, stays, and so do those after it.

        Args:
            committed_seq: The number of the newest record that a quorum has accepted.
            is_permitted: Returns whether a command may be sent under the lease.
        """
        self.committed_seq = max(self.committed_seq, committed_seq)
        permitted_commands = []
        for proxy, queue in list(self.queues.items()):
            while queue and 0 <= queue[0].seq <= self.committed_seq and is_permitted(queue[0]):
                permitted_commands.append(queue.popleft())
            if not queue:
                del self.queues[proxy]
        return permitted_commands

    def discard(self, proxy: int) -> None:
        """Drop the waiting commands of a proxy, and its mark as overflowed."""
        self.overflowed_proxies.discard(proxy)
        self.queues.pop(proxy, None)

    def _commands(self) -> Iterable[WaitingCommand]:
        return (command for queue in self.queues.values() for command in queue)

    def __len__(self) -> int:
        return sum(map(len, self.queues.values()))
