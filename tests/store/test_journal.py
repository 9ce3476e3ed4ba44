"""The journal: what was acknowledged is there after a kill, a loss of power, a full disk; damage is refused by place."""

import errno
import os
import random
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from ravenshelf.store import journal as journals
from ravenshelf.store.committer import Committer
from ravenshelf.store.errors import DamagedSegmentError, JournalFailedError
from ravenshelf.store.file_system import FileSystem
from ravenshelf.store.journal import Journal

ROOT = Path(__file__).resolve().parents[2]
WHO = {"cluster": "a", "member": "c0"}


class Disk(FileSystem):
    """A file system that loses what was not synced when its power goes, and fails where the test says.

    `steps` counts its calls; at `fail_at` one fails, at `lose_at` the power goes in it."""

    def __init__(self, fail_at=0, lose_at=0, seed=0, lies=False):
        self.steps, self.fail_at, self.lose_at, self.lies = 0, fail_at, lose_at, lies
        self.chance = random.Random(seed)
        self.synced: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.off = False

    def _step(self, what):
        if self.off:
            raise OSError(errno.EIO, "no power")
        self.steps += 1
        if self.steps == self.fail_at:
            raise OSError(errno.ENOSPC if what == "write" else errno.EIO, what)
        if self.steps == self.lose_at:
            self.off = True
            raise OSError(errno.EIO, "no power")

    def open(self, path):
        handle = super().open(path)
        self.names[handle] = str(path)
        self.synced.setdefault(str(path), os.path.getsize(path))
        return handle

    def write(self, handle, data):
        if self.off or self.steps + 1 == self.lose_at:  # a part of it comes to the disk
            super().write(handle, data[: self.chance.randrange(len(data) + 1)])
        self._step("write")
        return super().write(handle, data[: max(1, len(data) // 2)] if self.chance.random() < 0.3 else data)

    def sync(self, handle):
        self._step("sync")
        if not self.lies:
            super().sync(handle)
            self.synced[self.names[handle]] = os.fstat(handle).st_size

    def sync_folder(self, folder):
        self._step("sync")

    def remove(self, path):
        self._step("remove")
        super().remove(path)

    def lose_power(self):
        """Of what was not synced a part is there."""
        for name, size in self.synced.items():
            if os.path.exists(name):
                now = os.path.getsize(name)
                os.truncate(name, size + self.chance.randrange(max(0, now - size) + 1))


def fill(folder, disk, acknowledged, count=60):
    journal = Journal(folder, WHO, disk)
    try:
        for n in range(count):
            journal.append([(n % 7, n), (f"k{n % 3}", n)])
            acknowledged.update({n % 7: n, f"k{n % 3}": n})
            if n == count // 2:
                journal.compact()
    finally:
        journal.close()


@pytest.mark.parametrize("how", ["fail", "lose"])
def test_whatever_step_fails_what_was_acknowledged_is_there(tmp_path, how):
    whole = Disk()
    fill(tmp_path / "whole", whole, {})
    assert whole.steps > 120
    for step in range(1, whole.steps + 1, 2):
        folder, acknowledged = tmp_path / f"{how}{step}", {}
        disk = Disk(**{f"{how}_at": step}, seed=step)
        with pytest.raises((JournalFailedError, OSError)):
            fill(folder, disk, acknowledged)
        if how == "lose":
            disk.lose_power()
        again = Journal(folder, WHO)
        extra = {k: v for k, v in again.entries.items() if acknowledged.get(k) != v}
        assert all(again.entries.get(k, -1) >= v for k, v in acknowledged.items()), step
        assert len(extra) <= 2  # the one write that was under way may be there
        again.append([("after", 1)])
        again.close()


def test_a_disk_that_only_says_it_has_synced_is_found_out_by_this_test(tmp_path):
    """The test above can fail: with syncs that do nothing, something acknowledged is gone."""
    lost = 0
    for seed in range(10):
        disk, acknowledged = Disk(seed=seed, lies=True), {}
        journal = Journal(tmp_path / str(seed), WHO, disk)
        for n in range(20):
            journal.append([(n, n)])
            acknowledged[n] = n
        disk.lose_power()
        journal.close()
        try:
            again = Journal(tmp_path / str(seed), WHO)
            lost += again.entries != acknowledged
            again.close()
        except DamagedSegmentError:
            lost += 1
    assert lost


def test_after_a_failed_sync_nothing_more_is_taken(tmp_path):
    disk = Disk()
    journal = Journal(tmp_path, WHO, disk)
    disk.fail_at = disk.steps + 2
    with pytest.raises(JournalFailedError):
        journal.append([(1, 1)])
    with pytest.raises(JournalFailedError, match=str(tmp_path)):
        journal.append([(2, 2)])
    assert not journal.entries


def test_a_damaged_middle_is_refused_with_file_and_offset_and_a_torn_tail_is_cut(tmp_path):
    journal = Journal(tmp_path, WHO)
    for n in range(10):
        journal.append([(n, "v" * 40)])
    journal.close()
    (path,) = tmp_path.glob("*.segment")
    data = path.read_bytes()
    for at in (200, 400):
        path.write_bytes(data[:at] + bytes([data[at] ^ 255]) + data[at + 1 :])
        with pytest.raises(
            DamagedSegmentError, match=r"000000000001.segment: \d+ bytes from \d+ on are damaged"
        ):
            Journal(tmp_path, WHO)
    path.write_bytes(data[:-5])
    again = Journal(tmp_path, WHO)
    assert again.torn_tail_bytes and len(again.entries) == 9
    again.close()


def test_anothers_folder_a_later_version_and_one_in_use_are_refused(tmp_path):
    journal = Journal(tmp_path, WHO)
    with pytest.raises(DamagedSegmentError, match="in use"):
        Journal(tmp_path, WHO)
    journal.close()
    with pytest.raises(DamagedSegmentError, match="c0.*expected.*c1"):
        Journal(tmp_path, {"cluster": "a", "member": "c1"})
    later = Journal(tmp_path, WHO, version=2)
    later.append([("x", 1)])
    later.close()
    with pytest.raises(DamagedSegmentError, match="version 2 at"):
        Journal(tmp_path, WHO)


def test_older_records_are_moved_on_step_by_step(tmp_path):
    journal = Journal(tmp_path, WHO)
    journal.append([("a", 1), ("gone", 2)])
    journal.close()
    moves = {1: lambda k, v: (k, [v]) if k != "gone" else None, 2: lambda k, v: (k, v + ["then"])}
    again = Journal(tmp_path, WHO, version=3, migrations=moves)
    assert again.entries == {"a": [1, "then"]}
    again.append([("b", [5, "then"])])
    again.compact()
    again.close()
    assert Journal(tmp_path, WHO, version=3, migrations={}).entries == {"a": [1, "then"], "b": [5, "then"]}


def test_size_is_bounded_by_what_holds(tmp_path, monkeypatch):
    monkeypatch.setattr(journals, "COMPACTION_BYTES", 4096)
    journal = Journal(tmp_path, WHO)
    for n in range(2000):
        journal.append([(n % 5, "v" * 50)])
        assert sum(p.stat().st_size for p in tmp_path.glob("*.segment")) < 16_384
    journal.close()
    assert len(Journal(tmp_path, WHO).entries) == 5


def test_a_kill_at_any_moment_leaves_what_was_acknowledged(tmp_path):
    program = (
        "import sys\nfrom pathlib import Path\nfrom ravenshelf.store import journal\njournal.COMPACTION_BYTES = 3000\n"
        "j = journal.Journal(Path(sys.argv[1]), {'cluster': 'a', 'member': 'c0'})\n"
        "for n in range(10**6):\n    j.append([(n % 9, n)])\n    print(n, flush=True)\n"
    )
    for after in (3, 90, 400):
        process = subprocess.Popen(
            [sys.executable, "-c", program, str(tmp_path / str(after))], cwd=ROOT, stdout=subprocess.PIPE
        )
        for _ in range(after):
            last = int(process.stdout.readline())
        process.kill()
        rest = [int(line) for line in process.stdout.read().split(b"\n")[:-1] if line]
        process.wait()
        last = rest[-1] if rest else last
        found = Journal(tmp_path / str(after), WHO).entries
        assert last <= max(found.values()) <= last + 1
        assert sorted(v for v in found.values() if v <= last)[-min(8, last) :] == list(
            range(last - min(8, last) + 1, last + 1)
        )


def test_commits_are_answered_in_order_and_go_to_disk_in_groups(tmp_path):
    told, committer = [], Committer(Journal(tmp_path, WHO), lambda call: call())
    for n in range(500):
        committer.commit([(n % 3, n)], lambda why, n=n: told.append((n, why)))
    committer.close()
    assert told == [(n, None) for n in range(500)] and committer.batches < 400
    committer.journal.close()
    assert Journal(tmp_path, WHO).entries == {0: 498, 1: 499, 2: 497}


def test_the_commands_verify_dump_and_compact(tmp_path):
    journal = Journal(tmp_path, WHO)
    for n in range(50):
        journal.append([(n % 2, n)])
    journal.close()

    def run(*words):
        return subprocess.run(
            [sys.executable, "-m", "ravenshelf", "store", *words], cwd=ROOT, capture_output=True, text=True
        )

    assert msgspec.json.decode(run("verify", str(tmp_path), "--json").stdout)["entries"] == 2
    assert run("dump", str(tmp_path)).stdout.splitlines() == [
        '{"key": 0, "value": 48}',
        '{"key": 1, "value": 49}',
    ]
    assert "2 entries" in run("compact", str(tmp_path)).stdout
    (path,) = tmp_path.glob("*.segment")
    path.write_bytes(path.read_bytes()[:40] + b"xxxx" + path.read_bytes()[44:])
    done = run("verify", str(tmp_path))
    assert done.returncode == 2 and "damaged" in done.stderr
    assert run("verify", str(tmp_path / "none")).returncode == 2
