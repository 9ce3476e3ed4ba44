"""The endpoint list, which members read with a delay, and the requests that wait for a retry."""

import random
from typing import NamedTuple

from standins.controllers.parameters import END_US, MILLISECOND

ENDPOINTS = frozenset({"s-0", "s-1", "s-2"})
LAST_VERSION = 11
VERSION_INTERVAL_US = 1300 * MILLISECOND
MAX_VERSION_JITTER_US = 800 * MILLISECOND
REQUESTS_PER_SHARD = 30


class ListVersion(NamedTuple):
    """A version of the list: the time in microseconds from which it is current, and its drained endpoints."""

    at: int
    version: int
    drained_endpoints: frozenset[str]


class EndpointListHistory:
    """All versions of the list, drawn in advance; each version drains or readmits one endpoint."""

    def __init__(self, rng: random.Random) -> None:
        self.endpoints = set(ENDPOINTS)
        self._versions = [ListVersion(0, 1, frozenset())]
        drained_endpoints: frozenset[str] = frozenset()
        for version in range(2, LAST_VERSION + 1):
            drained_endpoints = drained_endpoints ^ {rng.choice(sorted(self.endpoints))}
            at = version * VERSION_INTERVAL_US + rng.randrange(MAX_VERSION_JITTER_US)
            self._versions.append(ListVersion(at, version, drained_endpoints))

    def version(self, at: int) -> int:
        """Return the version that is current at a true time in microseconds."""
        return max((entry.version for entry in self._versions if entry.at <= at), default=1)

    def drained_at_version(self, version: int) -> set[str]:
        """Return the endpoints that a version drains."""
        return set(self._versions[version - 1].drained_endpoints)


class WaitingRequests:
    """Requests by shard, each of which may be retried once if a lease holder grants it."""

    def __init__(self, rng: random.Random, shards: int) -> None:
        self._requests = {
            shard: [
                (rng.randrange(END_US), f"build-order-{shard}-{number}")
                for number in range(REQUESTS_PER_SHARD)
            ]
            for shard in range(shards)
        }

    def keys(self, shard: int, now: int) -> list[str]:
        """Return the keys of the requests that wait at a true time in microseconds."""
        return [key for at, key in self._requests[shard] if at <= now]
