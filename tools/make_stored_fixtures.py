"""Write the files of `tests/fixtures/stored/`: data on disk and on the wire in the format of one version.

The files in the repository were written once and never change. Later versions must read them and must write
the same bytes (`tests/store/test_stored_data_of_earlier_versions.py`). This tool is only run to write data of
a new format into a new folder:

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
from ravenshelf.store import journal as journal_module
from ravenshelf.store.journal import Journal

IDENTITY = {"cluster": "fixtures", "member": "c0"}
SMALL_SEGMENT_BYTES = 600
SECOND_US = 1_000_000
TICK_US = 20_000
EXCHANGE_END_US = 5 * SECOND_US
RECORD_INTERVAL_US = 500_000
HANDOVER_AT_US = 2_600_000
ISOLATION_AT_US = 3_200_000
RESTART_AT_US = 4_000_000

RECORD = Record(
    retries={"build-order-0-1": 1, "build-order-0-7": 2},
    admission_levels={"look": (40.5, 2), "pay": (100000.0, 1)},
    drained_at={"s-1": 7},
    warming_since={"s-2": 1_700_000_000_000},
    unknown_fields={"quotas": {"tenant": 7}},
)

# The name of a file, and the message that its frame contains; there is one for each kind of message.
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
    """A seeded simulation of three members that logs every decision in order, with messages as frames.

    One member is isolated, one restarts with an empty disk, records are written, and shards are handed over.
    The simulation is the `LeaseOutput` of all three members. Its disk and its network have no delay.
    """

    def __init__(self) -> None:
        self.configuration = LeaseConfiguration(shards=4, stability_period_us=SECOND_US)
        self.members = [
            Member(number, 3, self.configuration, {}, 0, random.Random(number)) for number in range(3)
        ]
        self.isolated_member: int | None = None
        self.now = 0
        self.messages: list[tuple[int, Any]] = []
        self.log_lines: list[bytes] = []

    def store_vote(self, *values: Any) -> None:
        """Log the fields of a vote that goes to disk."""
        self.log_lines.append(b"keep %r\n" % (values,))

    def store_voting(self) -> None:
        """Log that a member votes from now on."""
        self.log_lines.append(b"votes\n")

    def send(self, member: int, message: Message) -> None:
        """Log a message, and deliver it after the step."""
        self.messages.append((member, message))
        self.log_lines.append(b"send %d " % member + message_codec.encode(message) + b"\n")

    def lease_changed(self, shard: int, state: LeaseState, term: int, record: Any) -> None:
        """Log a new state of a shard's lease."""
        self.log_lines.append(b"changed %r\n" % ((shard, state.value, term, record),))

    def run(self) -> bytes:
        """Run the whole exchange and return its log, which has a line for each decision."""
        for self.now in range(TICK_US, EXCHANGE_END_US, TICK_US):
            for number in range(3):
                self._step(number, lambda member: member.tick(self.now, self))
            if self.now % RECORD_INTERVAL_US == 0:
                self._write_records()
            if self.now == HANDOVER_AT_US:
                for number in range(3):
                    self._step(number, self._hand_over_first)
            if self.now == ISOLATION_AT_US:
                self.isolated_member = 0
            if self.now == RESTART_AT_US:
                self.isolated_member = None
                self.members[1] = Member(1, 3, self.configuration, {}, self.now, random.Random(9), True)
        return b"".join(self.log_lines)

    def _hand_over_first(self, member: Member) -> None:
        member.release(self.now, member.held_shards()[:1], (member.local_member + 1) % 3, self)

    def _write_records(self) -> None:
        for number in range(3):
            for shard in self.members[number].held_shards():
                body = RECORD.pack() if shard == 0 else b"%d" % self.now
                self._step(
                    number,
                    lambda member, record_shard=shard, record=body: member.write_record(
                        self.now, record_shard, record, self
                    ),
                )

    def _step(self, number: int, action: Callable[[Member], Any]) -> None:
        """Run an action of a member, and deliver the messages that it sends."""
        self.log_lines.append(b"%d %d " % (self.now, number))
        action(self.members[number])
        while self.messages:
            sent_messages, self.messages = self.messages, []
            for receiver, message in sent_messages:
                if self._is_connected(number, receiver):
                    self.log_lines.append(b"hear %d\n" % receiver)
                    self._deliver(number, receiver, message)

    def _deliver(self, sender: int, receiver: int, message: Message) -> None:
        """Deliver a message, and then the replies that the receiver sends."""
        earlier_messages, self.messages = self.messages, []
        self.members[receiver].receive(self.now, sender, message, self)
        replies, self.messages = self.messages, earlier_messages
        for reply_receiver, reply in replies:
            if self._is_connected(receiver, reply_receiver):
                self._deliver(receiver, reply_receiver, reply)

    def _is_connected(self, sender: int, receiver: int) -> bool:
        return sender == receiver or self.isolated_member not in (sender, receiver)


def run_exchange() -> bytes:
    """Return the log of a new `Exchange`."""
    return Exchange().run()


def write_journal(folder: Path) -> None:
    """Write a journal of several segments, with a compaction in between and a torn tail."""
    journal_module.SEGMENT_BYTES = SMALL_SEGMENT_BYTES
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
    newest_segment = sorted(folder.glob("*.segment"))[-1]
    newest_segment.write_bytes(newest_segment.read_bytes()[:-9])
    (folder / "lock").unlink()


def main(folder: Path) -> None:
    """Write all files into a folder that must not exist yet."""
    folder.mkdir(parents=True)
    write_journal(folder / "journal")
    (folder / "record.msgpack").write_bytes(RECORD.pack())
    for name, message in MESSAGES.items():
        (folder / f"{name}.frame").write_bytes(encode_frame(message))
    (folder / "exchange.bin").write_bytes(run_exchange())


if __name__ == "__main__":
    main(Path(sys.argv[1]))
