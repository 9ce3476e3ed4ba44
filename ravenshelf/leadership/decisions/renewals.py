"""Renewals that a member has sent: a lease counts from when the renewal was sent, not from its replies."""

from collections import deque
from dataclasses import dataclass

from ravenshelf.leadership.decisions.claims import Claim

RENEWALS_REMEMBERED = 12  # a reply to an older renewal counts for nothing


@dataclass(slots=True)
class Renewal:
    """A renewal, and the terms that it renewed. Times are microseconds of the member's clock."""

    number: int
    sent_at: int
    terms: dict[int, int]  # shard: term


class RenewalLog:
    """The newest renewals, numbered in their order."""

    def __init__(self) -> None:
        self._last_number = 0
        self._renewals: deque[Renewal] = deque(maxlen=RENEWALS_REMEMBERED)

    def add(self, now: int, terms: dict[int, int]) -> Renewal:
        """A renewal that is sent now."""
        self._last_number += 1
        renewal = Renewal(self._last_number, now, terms)
        self._renewals.append(renewal)
        return renewal

    def find(self, number: int) -> Renewal | None:
        """The renewal that a reply names, or None for one that is too old."""
        return next((renewal for renewal in self._renewals if renewal.number == number), None)


def count_renewal(claim: Claim, renewal: Renewal, voter: int, quorum: int, usable_lease_us: int) -> None:
    """A voter has renewed a claim's lease: it is valid for longer once a quorum has."""
    voters = claim.renewed_by.setdefault(renewal.number, set())
    voters.add(voter)
    if len(voters) >= quorum:
        claim.valid_until = max(claim.valid_until, renewal.sent_at + usable_lease_us)
    outdated = [number for number in claim.renewed_by if number < renewal.number - RENEWALS_REMEMBERED]
    for number in outdated:
        del claim.renewed_by[number]
