"""Tests of group commit."""

from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal

IDENTITY = {"cluster": "a", "member": "c0"}


def test_commits_are_reported_in_order_and_written_in_batches(tmp_path):
    results = []
    committer = Committer(Journal(tmp_path, IDENTITY), lambda callback: callback())
    for number in range(500):
        committer.commit([(number % 3, number)], lambda error, number=number: results.append((number, error)))
    committer.close()
    assert results == [(number, None) for number in range(500)] and committer.batch_count < 400
    committer.journal.close()
    assert Journal(tmp_path, IDENTITY).entries == {0: 498, 1: 499, 2: 497}
