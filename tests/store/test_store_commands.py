"""The commands `ravenshelf store`."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from ravenshelf.store.journal import Journal

ROOT = Path(__file__).resolve().parents[2]


def store_command(*words):
    return subprocess.run(
        [sys.executable, "-m", "ravenshelf", "store", *words], cwd=ROOT, capture_output=True, text=True
    )


@pytest.fixture
def folder(tmp_path):
    """A closed journal of two entries."""
    journal = Journal(tmp_path, {"cluster": "a", "member": "c0"})
    for number in range(50):
        journal.append([(number % 2, number)])
    journal.close()
    return tmp_path


def test_verify_dump_and_compact(folder):
    assert msgspec.json.decode(store_command("verify", str(folder), "--json").stdout)["entries"] == 2
    assert store_command("dump", str(folder)).stdout.splitlines() == [
        '{"key": 0, "value": 48}',
        '{"key": 1, "value": 49}',
    ]
    assert "2 entries" in store_command("compact", str(folder)).stdout
    (path,) = folder.glob("*.segment")
    path.write_bytes(path.read_bytes()[:40] + b"xxxx" + path.read_bytes()[44:])
    verified = store_command("verify", str(folder))
    assert verified.returncode == 2 and "damaged" in verified.stderr


def test_verify_of_a_missing_folder_fails(tmp_path):
    assert store_command("verify", str(tmp_path / "none")).returncode == 2
