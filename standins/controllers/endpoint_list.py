"""The endpoint list that members read with a lag, and the requests that wait to be retried."""

import random
from typing import NamedTuple

from standins.controllers.parameters import END_US, MILLISECOND

ENDPOINTS = frozenset({"s-0", "s-1", "s-2"})
LAST_VERSION = 11
VERSION_INTERVAL_US = 1300 * MILLISECOND
VERSION_SPREAD_US = 800 * MILLISECOND
REQUESTS_PER_SHARD = 30


class ListVersion(NamedTuple):
    """From when on a version of the list holds, and which endpoints it drains."""

    at: int
    version: int
    drained: frozenset[str]


class EndpointListHistory:
    """All versions of the list, drawn in advance; each drains or readmits one endpoint."""

    def __init__(self, rng: random.Random) -> None:
        self.endpoints = set(ENDPOINTS)
        self._versions = [ListVersion(0, 1, frozenset())]
        drained: frozenset[str] = frozenset()
        for version in range(2, LAST_VERSION + 1):
            drained = drained ^ {rng.choice(sorted(self.endpoints))}
            at = version * VERSION_INTERVAL_US + rng.randrange(VERSION_SPREAD_US)
            self._versions.append(ListVersion(at, version, drained))

    def version(self, at: int) -> int:
        """The version that holds at a time."""
        return max((entry.version for entry in self._versions if entry.at <= at), default=1)

    def drained(self, version: int) -> set[str]:
        """The endpoints that a version drains."""
        return set(self._versions[version - 1].drained)


class WaitingRequests:
    """Requests by shard that may be retried once, where a lease holder grants it."""

    def __init__(self, rng: random.Random, shards: int) -> None:
        self._requests = {
            shard: [(rng.randrange(END_US), f"build-order-{shard}-{n}") for n in range(REQUESTS_PER_SHARD)]
            for shard in range(shards)
        }

    def keys(self, shard: int, now: int) -> list[str]:
        """The keys of those that wait now."""
        return [key for at, key in self._requests[shard] if at <= now]
