"""Tests of compatibility with data of an earlier version, on disk and on the wire.

The data is read, and the same content is encoded to the same bytes.
"""

import json
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from ravenshelf.leadership import link, message_codec
from ravenshelf.leadership.record import Record
from ravenshelf.store.journal import Journal
from ravenshelf.store.segment_format import pack, segment_header, unpack
from tools.make_stored_fixtures import IDENTITY, MESSAGES, RECORD, run_exchange, write_journal

ROOT = Path(__file__).resolve().parents[2]
STORED = ROOT / "tests" / "fixtures" / "stored"
TORN_TAIL_BYTES = 37
ENTRIES = {
    "incarnation": 3,
    "votes": True,
    0: [8200, 8192, 8, b"second 8"],
    1: [8201, 8192, 9, b"second 9"],
    2: [8202, 8192, 10, b"second 10"],
    3: [8203, 8192, 11, b"second 11"],
}


@pytest.fixture
def journal_folder(tmp_path):
    return shutil.copytree(STORED / "journal", tmp_path / "journal")


def run_store_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "ravenshelf", "store", *arguments], cwd=ROOT, capture_output=True, text=True
    )


def test_store_verify_reads_a_journal_of_an_earlier_version(journal_folder):
    completed_process = run_store_command("verify", str(journal_folder), "--json")
    assert completed_process.returncode == 0
    assert json.loads(completed_process.stdout) == {
        "identity": IDENTITY,
        "entries": 6,
        "segments": 2,
        "octets": 1027,
        "torn_tail": TORN_TAIL_BYTES,
    }


def test_store_dump_prints_the_entries_of_an_earlier_version(journal_folder):
    lines = [json.loads(line) for line in run_store_command("dump", str(journal_folder)).stdout.splitlines()]
    printed_entries = {
        key: [field.hex() if isinstance(field, bytes) else field for field in value]
        if isinstance(value, list)
        else value
        for key, value in ENTRIES.items()
    }
    assert {line["key"]: line["value"] for line in lines} == printed_entries


def test_a_journal_of_an_earlier_version_can_be_written_and_compacted(journal_folder):
    journal = Journal(journal_folder, IDENTITY)
    assert journal.entries == ENTRIES
    journal.append([("after", 1)])
    journal.compact()
    journal.close()
    assert Journal(journal_folder, IDENTITY).entries == ENTRIES | {"after": 1}


def test_the_same_changes_are_written_to_identical_segment_files(tmp_path, monkeypatch):
    # `write_journal` sets this constant; monkeypatch restores it after the test.
    monkeypatch.setattr("ravenshelf.store.journal.SEGMENT_BYTES", None)
    write_journal(tmp_path / "journal")
    written_files = {path.name: path.read_bytes() for path in (tmp_path / "journal").iterdir()}
    assert written_files == {path.name: path.read_bytes() for path in (STORED / "journal").iterdir()}


@pytest.mark.parametrize("path", sorted((STORED / "journal").iterdir()), ids=lambda path: path.name)
def test_the_records_of_a_segment_pack_to_the_same_bytes(path):
    data = path.read_bytes()
    records, skipped_ranges = unpack(data, path.name, True)
    valid_data = data[: skipped_ranges[0].offset] if skipped_ranges else data
    assert segment_header() + b"".join(pack(body) for _, body in records) == valid_data


def test_a_leadership_record_is_read_and_packs_to_the_same_bytes():
    data = (STORED / "record.msgpack").read_bytes()
    record = Record.unpack(data)
    assert record.retries == {"build-order-0-1": 1, "build-order-0-7": 2}
    assert record.admission_levels == {"look": (40.5, 2), "pay": (100000.0, 1)}
    assert record.drained_at == {"s-1": 7}
    assert record.warming_since == {"s-2": 1_700_000_000_000}
    assert record.unknown_fields == {"quotas": {"tenant": 7}}
    assert record.pack() == RECORD.pack() == data


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_a_frame_is_decoded_and_encodes_to_the_same_bytes(name):
    data = (STORED / f"{name}.frame").read_bytes()
    assert link.Frames().feed(data) == [MESSAGES[name]]
    assert link.encode_frame(MESSAGES[name]) == data


@pytest.mark.parametrize("name", sorted(MESSAGES.keys() - {"hello"}))
def test_a_message_of_a_frame_is_typed_and_encodes_to_the_same_bytes(name):
    data = (STORED / f"{name}.frame").read_bytes()
    (message,) = link.Frames().feed(data)
    assert message_codec.encode(message_codec.decode(message)) == data


def test_a_seeded_exchange_of_three_members_makes_the_same_decisions_and_frames():
    assert run_exchange() == (STORED / "exchange.bin").read_bytes()
