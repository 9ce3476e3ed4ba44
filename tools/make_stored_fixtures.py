"""Writes `tests/fixtures/stored/`: data on disk and on the wire as one version of the program writes it.

The files in the repository were written once and stay: later versions must read them and must write the same
bytes (`tests/store/test_stored_data_of_earlier_versions.py`). Run this only to add data of a new format, into
a new folder:

    python -m tools.make_stored_fixtures FOLDER
"""

import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ravenshelf.leadership import message_codec
from ravenshelf.leadership.decisions import LeaseConfiguration, LeaseState, Member, Message
from ravenshelf.leadership.link import encode_frame
from ravenshelf.leadership.record import Record
from ravenshelf.store import journal as journals
from ravenshelf.store.journal import Journal

IDENTITY = {"cluster": "fixtures", "member": "c0"}
SMALL_SEGMENT_BYTES = 600
SECOND = 1_000_000
TICK_US = 20_000
EXCHANGE_ENDS_US = 5 * SECOND
RECORDS_EVERY_US = 500_000
HANDOVER_AT_US = 2_600_000
ISOLATED_AT_US = 3_200_000
RESTARTED_AT_US = 4_000_000

RECORD = Record(
    retries={"build-order-0-1": 1, "build-order-0-7": 2},
    admission_levels={"look": (40.5, 2), "pay": (100000.0, 1)},
    drained_at={"s-1": 7},
    warming_since={"s-2": 1_700_000_000_000},
    unknown_fields={"quotas": {"tenant": 7}},
)

# one message of every kind, as they are on the wire
MESSAGES: dict[str, list] = {
    "hello": ["hello", 1, "fixtures", "c0", 3, [64, 1_500_000, 3]],
    "read": ["read"],
    "state": ["state", [[0, 4097, 4097, 2, b"record"], [5, 8192, 0, 0, None]]],
    "state_of_recovering": ["state", None],
    "renew": ["renew", 12, [[0, 4097], [3, 8193]], [1.0, False, 350]],
    "renewed": ["renewed", 12, [0], [[3, 8193, 12290]]],
    "probe": ["probe", [0, 1, 2]],
    "probed": ["probed", [0, 2]],
    "ask": ["ask", [[0, 4096], [2, 8192]]],
    "granted": ["granted", [[0, 4096, 0, 0, None], [2, 8192, 4097, 3, b"record"]], [[1, 12290]]],
    "write": ["write", [[0, 4096, 1, None], [2, 8192, 4, RECORD.pack()]]],
    "written": ["written", [[0, 4096, 1]], [[2, 8192, 12290]]],
    "free": ["free", [[0, 4096, 2], [2, 8192, None]]],
}


class Exchange:
    """Three members play a seeded exchange: every decision in order, with messages as frames.

    A member is cut off, one starts again with an empty disk, records are written, shards are handed over. It
    stands for the disk and the network of all three (`LeaseOutput`), which are ideal.
    """

    def __init__(self) -> None:
        self.configuration = LeaseConfiguration(shards=4, stability_period_us=SECOND)
        self.members = [Member(n, 3, self.configuration, {}, 0, random.Random(n)) for n in range(3)]
        self.isolated: int | None = None
        self.now = 0
        self.messages: list[tuple[int, Any]] = []
        self.lines: list[bytes] = []

    def store_vote(self, *values: Any) -> None:
        """A vote goes to disk."""
        self.lines.append(b"keep %r\n" % (values,))

    def store_voting(self) -> None:
        """The member votes from now on."""
        self.lines.append(b"votes\n")

    def send(self, member: int, message: Message) -> None:
        """A message leaves."""
        self.messages.append((member, message))
        self.lines.append(b"send %d " % member + message_codec.encode(message) + b"\n")

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: Any) -> None:
        """A shard's state has changed."""
        self.lines.append(b"changed %r\n" % ((shard, state.value, term, record),))

    def play(self) -> bytes:
        """The whole exchange, a line for each decision."""
        for self.now in range(TICK_US, EXCHANGE_ENDS_US, TICK_US):
            for number in range(3):
                self._step(number, lambda member: member.tick(self.now, self))
            if self.now % RECORDS_EVERY_US == 0:
                self._write_records()
            if self.now == HANDOVER_AT_US:
                for number in range(3):
                    self._step(number, self._hand_over_first)
            if self.now == ISOLATED_AT_US:
                self.isolated = 0
            if self.now == RESTARTED_AT_US:
                self.isolated = None
                self.members[1] = Member(1, 3, self.configuration, {}, self.now, random.Random(9), True)
        return b"".join(self.lines)

    def _hand_over_first(self, member: Member) -> None:
        member.release(self.now, member.held_shards()[:1], (member.local_member + 1) % 3, self)

    def _write_records(self) -> None:
        for number in range(3):
            for shard in self.members[number].held_shards():
                body = RECORD.pack() if shard == 0 else b"%d" % self.now
                self._step(number, lambda m, s=shard, b=body: m.write_record(self.now, s, b, self))

    def _step(self, number: int, act: Callable[[Member], Any]) -> None:
        self.lines.append(b"%d %d " % (self.now, number))
        act(self.members[number])
        while self.messages:
            sent, self.messages = self.messages, []
            for to, message in sent:
                if self._reaches(number, to):
                    self.lines.append(b"hear %d\n" % to)
                    self._hear(number, to, message)

    def _hear(self, sender: int, to: int, message: Message) -> None:
        before, self.messages = self.messages, []
        self.members[to].receive(self.now, sender, message, self)
        replies, self.messages = self.messages, before
        for back, reply in replies:
            if self._reaches(to, back):
                self._hear(to, back, reply)

    def _reaches(self, sender: int, to: int) -> bool:
        return sender == to or self.isolated not in (sender, to)


def play_exchange() -> bytes:
    """The seeded exchange of `Exchange`."""
    return Exchange().play()


def write_journal(folder: Path) -> None:
    """Several segments, a compaction in between, and a torn tail."""
    journals.SEGMENT_BYTES = SMALL_SEGMENT_BYTES
    journal = Journal(folder, IDENTITY)
    journal.append([("incarnation", 3), ("votes", True)])
    for number in range(30):
        journal.append(
            [(number % 4, (4096 + number, 4096, number, RECORD.pack()[: 20 + number])), ("gone", number)]
        )
    journal.compact()
    journal.append([("gone", None)])
    for number in range(12):
        journal.append([(number % 4, (8192 + number, 8192, number, b"second %d" % number))])
    journal.append([(("pair", 1), {"nested": [1, 2.5, None]})])
    journal.close()
    newest = sorted(folder.glob("*.segment"))[-1]
    newest.write_bytes(newest.read_bytes()[:-9])
    (folder / "lock").unlink()


def main(folder: Path) -> None:
    """Writes all fixtures into a folder that must not exist yet."""
    folder.mkdir(parents=True)
    write_journal(folder / "journal")
    (folder / "record.msgpack").write_bytes(RECORD.pack())
    for name, message in MESSAGES.items():
        (folder / f"{name}.frame").write_bytes(encode_frame(message))
    (folder / "exchange.bin").write_bytes(play_exchange())


if __name__ == "__main__":
    main(Path(sys.argv[1]))
