"""The journal: what was acknowledged survives a kill, a loss of power, a full disk; damage is an error with
a place.
"""

import subprocess
import sys
from pathlib import Path

import pytest
from failing_disk import FailingDisk

from ravenshelf.store import journal as journals
from ravenshelf.store.errors import DamagedSegmentError, JournalFailedError
from ravenshelf.store.journal import Journal

ROOT = Path(__file__).resolve().parents[2]
IDENTITY = {"cluster": "a", "member": "c0"}


def fill(folder, disk, acknowledged, count=60):
    """Appends and compacts; `acknowledged` has what was acknowledged until an error."""
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
    sound = FailingDisk()
    fill(tmp_path / "sound", sound, {})
    assert sound.calls > 120
    for call in range(1, sound.calls + 1, 2):
        folder = tmp_path / f"{fault}{call}"
        acknowledged = {}
        disk = FailingDisk(**{fault: call}, seed=call)
        with pytest.raises((JournalFailedError, OSError)):
            fill(folder, disk, acknowledged)
        if fault == "lose_power_at":
            disk.lose_power()
        journal = Journal(folder, IDENTITY)
        unacknowledged = {k: v for k, v in journal.entries.items() if acknowledged.get(k) != v}
        assert all(journal.entries.get(k, -1) >= v for k, v in acknowledged.items()), call
        assert len(unacknowledged) <= 2  # the one write that was in progress may be there
        journal.append([("after", 1)])
        journal.close()


def test_a_disk_that_only_says_that_it_has_synced_loses_acknowledged_changes(tmp_path):
    """The test above can fail."""
    lost = 0
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
            reopened = Journal(tmp_path / str(seed), IDENTITY)
            lost += reopened.entries != acknowledged
            reopened.close()
        except DamagedSegmentError:
            lost += 1
    assert lost


def test_after_a_failed_sync_the_journal_takes_no_more(tmp_path):
    disk = FailingDisk()
    journal = Journal(tmp_path, IDENTITY, disk)
    disk.fail_at = disk.calls + 2
    with pytest.raises(JournalFailedError):
        journal.append([(1, 1)])
    with pytest.raises(JournalFailedError, match=str(tmp_path)):
        journal.append([(2, 2)])
    assert not journal.entries


@pytest.fixture
def filled_folder(tmp_path):
    """A closed journal of ten entries in one segment."""
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


def test_a_torn_tail_is_cut_off(filled_folder):
    (path,) = filled_folder.glob("*.segment")
    path.write_bytes(path.read_bytes()[:-5])
    journal = Journal(filled_folder, IDENTITY)
    assert journal.torn_tail_bytes and len(journal.entries) == 9
    journal.close()


def test_a_folder_in_use_of_another_or_of_a_later_version_is_an_error(tmp_path):
    journal = Journal(tmp_path, IDENTITY)
    with pytest.raises(DamagedSegmentError, match="in use"):
        Journal(tmp_path, IDENTITY)
    journal.close()
    with pytest.raises(DamagedSegmentError, match=r"c0.*expected.*c1"):
        Journal(tmp_path, {"cluster": "a", "member": "c1"})
    later = Journal(tmp_path, IDENTITY, version=2)
    later.append([("x", 1)])
    later.close()
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
    migrated = Journal(tmp_path, IDENTITY, version=3, migrations=migrations)
    assert migrated.entries == {"a": [1, "then"]}
    migrated.append([("b", [5, "then"])])
    migrated.compact()
    migrated.close()
    compacted = Journal(tmp_path, IDENTITY, version=3, migrations={})
    assert compacted.entries == {"a": [1, "then"], "b": [5, "then"]}


def test_compaction_bounds_the_size_by_the_entries(tmp_path, monkeypatch):
    monkeypatch.setattr(journals, "COMPACTION_BYTES", 4096)
    journal = Journal(tmp_path, IDENTITY)
    for number in range(2000):
        journal.append([(number % 5, "v" * 50)])
        assert sum(path.stat().st_size for path in tmp_path.glob("*.segment")) < 16_384
    journal.close()
    assert len(Journal(tmp_path, IDENTITY).entries) == 5


PROGRAM = (
    "import sys\nfrom pathlib import Path\nfrom ravenshelf.store import journal\n"
    "journal.COMPACTION_BYTES = 3000\n"
    "j = journal.Journal(Path(sys.argv[1]), {'cluster': 'a', 'member': 'c0'})\n"
    "for n in range(10**6):\n    j.append([(n % 9, n)])\n    print(n, flush=True)\n"
)


@pytest.mark.parametrize("lines", [3, 90, 400])
def test_acknowledged_changes_survive_a_kill_at_any_moment(tmp_path, lines):
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE
    )
    for _ in range(lines):
        last = int(process.stdout.readline())
    process.kill()
    rest = [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
    process.wait()
    last = rest[-1] if rest else last
    entries = Journal(tmp_path, IDENTITY).entries
    assert last <= max(entries.values()) <= last + 1
    kept = min(8, last)
    acknowledged = sorted(value for value in entries.values() if value <= last)
    assert acknowledged[-kept:] == list(range(last - kept + 1, last + 1))
