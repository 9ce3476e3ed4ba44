"""Group commit."""

from ravenshelf.store.committer import Committer
from ravenshelf.store.journal import Journal

IDENTITY = {"cluster": "a", "member": "c0"}


def test_commits_end_in_order_and_go_to_disk_in_groups(tmp_path):
    ended = []
    committer = Committer(Journal(tmp_path, IDENTITY), lambda call: call())
    for number in range(500):
        committer.commit([(number % 3, number)], lambda error, number=number: ended.append((number, error)))
    committer.close()
    assert ended == [(number, None) for number in range(500)] and committer.batches < 400
    committer.journal.close()
    assert Journal(tmp_path, IDENTITY).entries == {0: 498, 1: 499, 2: 497}
