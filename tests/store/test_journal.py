"""Tests of the journal.

Acknowledged changes survive a kill, a loss of power and a full disk. Damage is an error with file and offset.
"""

import subprocess
import sys
from pathlib import Path

import pytest
from failing_disk import FailingDisk

from ravenshelf.store import journal as journal_module
from ravenshelf.store.errors import DamagedSegmentError, JournalFailedError
from ravenshelf.store.journal import Journal

ROOT = Path(__file__).resolve().parents[2]
IDENTITY = {"cluster": "a", "member": "c0"}


def fill(folder, disk, acknowledged, count=60):
    """Append changes and compact halfway; `acknowledged` is updated with each acknowledged change."""
    journal = Journal(folder, IDENTITY, disk)
    try:
        for number in range(count):
            changes = {number % 7: number, f"k{number % 3}": number}
            journal.append(list(changes.items()))
            acknowledged.update(changes)
            if number == count // 2:
                journal.compact()
    finally:
        journal.close()


@pytest.mark.parametrize("fault", ["fail_at", "lose_power_at"])
def test_acknowledged_changes_survive_a_fault_at_any_call(tmp_path, fault):
    faultless_disk = FailingDisk()
    fill(tmp_path / "faultless", faultless_disk, {})
    assert faultless_disk.call_count > 120
    for fault_call in range(1, faultless_disk.call_count + 1, 2):
        folder = tmp_path / f"{fault}{fault_call}"
        acknowledged = {}
        disk = FailingDisk(**{fault: fault_call}, seed=fault_call)
        with pytest.raises((JournalFailedError, OSError)):
            fill(folder, disk, acknowledged)
        if fault == "lose_power_at":
            disk.lose_power()
        journal = Journal(folder, IDENTITY)
        unacknowledged = {
            key: value for key, value in journal.entries.items() if acknowledged.get(key) != value
        }
        assert all(journal.entries.get(key, -1) >= value for key, value in acknowledged.items()), fault_call
        # The append that failed changes two keys, and they may be on disk although it was not acknowledged.
        assert len(unacknowledged) <= 2
        journal.append([("after", 1)])
        journal.close()


def test_a_disk_that_ignores_syncs_loses_acknowledged_changes(tmp_path):
    """The test above would report a journal whose changes are not on disk when they are acknowledged."""
    loss_count = 0
    for seed in range(10):
        disk = FailingDisk(seed=seed, ignores_sync=True)
        acknowledged = {}
        journal = Journal(tmp_path / str(seed), IDENTITY, disk)
        for number in range(20):
            journal.append([(number, number)])
            acknowledged[number] = number
        disk.lose_power()
        journal.close()
        try:
            reopened_journal = Journal(tmp_path / str(seed), IDENTITY)
            loss_count += reopened_journal.entries != acknowledged
            reopened_journal.close()
        except DamagedSegmentError:
            loss_count += 1
    assert loss_count


def test_after_a_failed_sync_the_journal_rejects_further_writes(tmp_path):
    disk = FailingDisk()
    journal = Journal(tmp_path, IDENTITY, disk)
    disk.fail_at = disk.call_count + 2
    with pytest.raises(JournalFailedError):
        journal.append([(1, 1)])
    with pytest.raises(JournalFailedError, match=str(tmp_path)):
        journal.append([(2, 2)])
    assert not journal.entries


@pytest.fixture
def filled_folder(tmp_path):
    """Return the folder of a closed journal with ten entries in one segment."""
    journal = Journal(tmp_path, IDENTITY)
    for number in range(10):
        journal.append([(number, "v" * 40)])
    journal.close()
    return tmp_path


@pytest.mark.parametrize("offset", [200, 400])
def test_damage_in_the_middle_is_an_error_with_file_and_offset(filled_folder, offset):
    (path,) = filled_folder.glob("*.segment")
    data = path.read_bytes()
    path.write_bytes(data[:offset] + bytes([data[offset] ^ 255]) + data[offset + 1 :])
    with pytest.raises(
        DamagedSegmentError, match=r"000000000001.segment: \d+ bytes from \d+ on are damaged"
    ) as raised:
        Journal(filled_folder, IDENTITY)
    assert raised.value.offset <= offset < raised.value.offset + raised.value.size_bytes


def test_a_torn_tail_is_truncated(filled_folder):
    (path,) = filled_folder.glob("*.segment")
    path.write_bytes(path.read_bytes()[:-5])
    journal = Journal(filled_folder, IDENTITY)
    assert journal.torn_tail_bytes and len(journal.entries) == 9
    journal.close()


def test_a_folder_that_is_in_use_or_of_another_member_or_of_a_later_version_is_an_error(tmp_path):
    journal = Journal(tmp_path, IDENTITY)
    with pytest.raises(DamagedSegmentError, match="in use"):
        Journal(tmp_path, IDENTITY)
    journal.close()
    with pytest.raises(DamagedSegmentError, match=r"c0.*expected.*c1"):
        Journal(tmp_path, {"cluster": "a", "member": "c1"})
    later_journal = Journal(tmp_path, IDENTITY, version=2)
    later_journal.append([("x", 1)])
    later_journal.close()
    with pytest.raises(DamagedSegmentError, match="version 2 at"):
        Journal(tmp_path, IDENTITY)


def test_records_of_earlier_versions_are_migrated_step_by_step(tmp_path):
    journal = Journal(tmp_path, IDENTITY)
    journal.append([("a", 1), ("gone", 2)])
    journal.close()
    migrations = {
        1: lambda key, value: (key, [value]) if key != "gone" else None,
        2: lambda key, value: (key, [*value, "then"]),
    }
    migrated_journal = Journal(tmp_path, IDENTITY, version=3, migrations=migrations)
    assert migrated_journal.entries == {"a": [1, "then"]}
    migrated_journal.append([("b", [5, "then"])])
    migrated_journal.compact()
    migrated_journal.close()
    compacted_journal = Journal(tmp_path, IDENTITY, version=3, migrations={})
    assert compacted_journal.entries == {"a": [1, "then"], "b": [5, "then"]}


def test_compaction_bounds_the_size_by_the_entries(tmp_path, monkeypatch):
    monkeypatch.setattr(journal_module, "MIN_COMPACTION_BYTES", 4096)
    journal = Journal(tmp_path, IDENTITY)
    for number in range(2000):
        journal.append([(number % 5, "v" * 50)])
        assert sum(path.stat().st_size for path in tmp_path.glob("*.segment")) < 16_384
    journal.close()
    assert len(Journal(tmp_path, IDENTITY).entries) == 5


APPENDING_PROGRAM = (
    "import sys\nfrom pathlib import Path\nfrom ravenshelf.store import journal\n"
    "journal.MIN_COMPACTION_BYTES = 3000\n"
    "open_journal = journal.Journal(Path(sys.argv[1]), {'cluster': 'a', 'member': 'c0'})\n"
    "for number in range(10**6):\n"
    "    open_journal.append([(number % 9, number)])\n"
    "    print(number, flush=True)\n"
)


@pytest.mark.parametrize("line_count", [3, 90, 400])
def test_acknowledged_changes_survive_a_kill_at_any_moment(tmp_path, line_count):
    process = subprocess.Popen(
        [sys.executable, "-c", APPENDING_PROGRAM, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE
    )
    for _ in range(line_count):
        last_acknowledged = int(process.stdout.readline())
    process.kill()
    remaining_numbers = [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
    process.wait()
    last_acknowledged = remaining_numbers[-1] if remaining_numbers else last_acknowledged
    entries = Journal(tmp_path, IDENTITY).entries
    assert last_acknowledged <= max(entries.values()) <= last_acknowledged + 1
    # A write in progress may have overwritten the oldest of the nine keys.
    certain_count = min(8, last_acknowledged)
    acknowledged = sorted(value for value in entries.values() if value <= last_acknowledged)
    assert acknowledged[-certain_count:] == list(
        range(last_acknowledged - certain_count + 1, last_acknowledged + 1)
    )
