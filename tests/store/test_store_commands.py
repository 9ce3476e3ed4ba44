"""Tests of the `ravenshelf store` commands."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from ravenshelf.store.journal import Journal

ROOT = Path(__file__).resolve().parents[2]


def run_store_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "ravenshelf", "store", *arguments], cwd=ROOT, capture_output=True, text=True
    )


@pytest.fixture
def journal_folder(tmp_path):
    """Return the folder of a closed journal with two entries."""
    journal = Journal(tmp_path, {"cluster": "a", "member": "c0"})
    for number in range(50):
        journal.append([(number % 2, number)])
    journal.close()
    return tmp_path


def test_verify_dump_and_compact_report_the_entries_and_verify_reports_damage(journal_folder):
    assert (
        msgspec.json.decode(run_store_command("verify", str(journal_folder), "--json").stdout)["entries"] == 2
    )
    assert run_store_command("dump", str(journal_folder)).stdout.splitlines() == [
        '{"key": 0, "value": 48}',
        '{"key": 1, "value": 49}',
    ]
    assert "2 entries" in run_store_command("compact", str(journal_folder)).stdout
    (path,) = journal_folder.glob("*.segment")
    path.write_bytes(path.read_bytes()[:40] + b"xxxx" + path.read_bytes()[44:])
    verification = run_store_command("verify", str(journal_folder))
    assert verification.returncode == 2 and "damaged" in verification.stderr


def test_verify_of_a_missing_folder_fails(tmp_path):
    assert run_store_command("verify", str(tmp_path / "none")).returncode == 2
