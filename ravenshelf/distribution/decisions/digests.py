"""Digest of the versions that a subscriber holds.

Equal sets of versions have equal digests, whatever the order in which the versions were recorded.
"""

import xxhash

from ravenshelf.distribution.messages import Version

_MODULUS = 2**64


def _hash(topic: str, version: Version) -> int:
    return xxhash.xxh64_intdigest(f"{topic}/{version.epoch}/{version.sequence}".encode())


class Digest:
    """Map of topics to versions, with a digest that is updated incrementally.

    `value` is the sum of a hash of each topic and its version, modulo 2**64.
    """

    def __init__(self) -> None:
        self.value = 0
        self._versions: dict[str, Version] = {}

    def set(self, topic: str, version: Version) -> None:
        """Record the version of a topic, and replace an earlier version."""
        self.remove(topic)
        self._versions[topic] = version
        self.value = (self.value + _hash(topic, version)) % _MODULUS

    def remove(self, topic: str) -> None:
        """Remove a topic; a topic that is not recorded is ignored."""
        version = self._versions.pop(topic, None)
        if version is not None:
            self.value = (self.value - _hash(topic, version)) % _MODULUS

    def get(self, topic: str) -> Version | None:
        """Return the recorded version of a topic, or None."""
        return self._versions.get(topic)

    def versions(self) -> dict[str, Version]:
        """Return a copy of the recorded versions, by topic."""
        return dict(self._versions)

    def __contains__(self, topic: str) -> bool:
        return topic in self._versions

    def __len__(self) -> int:
        return len(self._versions)
