"""Renewals that a member has sent.

A renewed lease is valid from the time at which the renewal was sent, not from the arrival of the replies.
"""

from collections import deque
from dataclasses import dataclass

from ravenshelf.leadership.decisions.claims import Claim

RENEWAL_LOG_SIZE = 12  # replies to older renewals are ignored


@dataclass(slots=True)
class Renewal:
    """A renewal that was sent.

    Attributes:
        number: The number of the renewal, which the replies repeat.
        sent_at: When the renewal was sent, microseconds of the member's clock.
        terms: The term of each renewed lease, by shard.
    """

    number: int
    sent_at: int
    terms: dict[int, int]


class RenewalLog:
    """The newest renewals, numbered consecutively."""

    def __init__(self) -> None:
        self._last_number = 0
        self._renewals: deque[Renewal] = deque(maxlen=RENEWAL_LOG_SIZE)

    def add(self, now: int, terms: dict[int, int]) -> Renewal:
        """Add a renewal that is sent now, and return it with its number."""
        self._last_number += 1
        renewal = Renewal(self._last_number, now, terms)
        self._renewals.append(renewal)
        return renewal

    def find(self, number: int) -> Renewal | None:
        """Return the renewal with this number, or None if it has been dropped from the log."""
        return next((renewal for renewal in self._renewals if renewal.number == number), None)


def count_renewal(claim: Claim, renewal: Renewal, voter: int, quorum: int, usable_lease_us: int) -> None:
    """Count a voter's renewal of a claim's lease, and extend the lease once a quorum has renewed it."""
    voters = claim.renewed_by.setdefault(renewal.number, set())
    voters.add(voter)
    if len(voters) >= quorum:
        claim.valid_until = max(claim.valid_until, renewal.sent_at + usable_lease_us)
    outdated_numbers = [number for number in claim.renewed_by if number < renewal.number - RENEWAL_LOG_SIZE]
    for number in outdated_numbers:
        del claim.renewed_by[number]
