"""Digest of the versions that a subscriber holds: equal sets have equal digests, whatever the order of
changes."""

import xxhash

from ravenshelf.distribution.messages import Version

_MODULUS = 2**64


def _hash(topic: str, version: Version) -> int:
    return xxhash.xxh64_intdigest(f"{topic}/{version.epoch}/{version.sequence}".encode())


class Digest:
    """The sum of a hash for each topic and its version, maintained incrementally. `value` is below 2**64."""

    def __init__(self) -> None:
        self.value = 0
        self._versions: dict[str, Version] = {}

    def set(self, topic: str, version: Version) -> None:
        """Record that the topic is held in this version."""
        self.remove(topic)
        self._versions[topic] = version
        self.value = (self.value + _hash(topic, version)) % _MODULUS

    def remove(self, topic: str) -> None:
        """Record that the topic is no longer held."""
        version = self._versions.pop(topic, None)
        if version is not None:
            self.value = (self.value - _hash(topic, version)) % _MODULUS

    def get(self, topic: str) -> Version | None:
        """Return the version held of the topic, or None."""
        return self._versions.get(topic)

    def versions(self) -> dict[str, Version]:
        """Return all topics that are held, with their versions."""
        return dict(self._versions)

    def __contains__(self, topic: str) -> bool:
        return topic in self._versions

    def __len__(self) -> int:
        return len(self._versions)
