"""A digest of the versions that a subscriber holds: equal sets have equal digests, whatever the order of changes."""

import xxhash

from ravenshelf.distribution.messages import Version

_MODULUS = 2**64


def _hash(topic: str, version: Version) -> int:
    return xxhash.xxh64_intdigest(f"{topic}/{version.epoch}/{version.sequence}".encode())


class Digest:
    """The sum of a hash for each topic and its version, kept up to date by differences."""

    def __init__(self) -> None:
        self.value = 0
        self._versions: dict[str, Version] = {}

    def set(self, topic: str, version: Version) -> None:
        """The topic is held in this version."""
        self.remove(topic)
        self._versions[topic] = version
        self.value = (self.value + _hash(topic, version)) % _MODULUS

    def remove(self, topic: str) -> None:
        """The topic is not held any more."""
        version = self._versions.pop(topic, None)
        if version is not None:
            self.value = (self.value - _hash(topic, version)) % _MODULUS

    def get(self, topic: str) -> Version | None:
        """The version that the digest counts for the topic; None where it is not held."""
        return self._versions.get(topic)

    def versions(self) -> dict[str, Version]:
        """All topics that are held, with their versions."""
        return dict(self._versions)

    def __contains__(self, topic: str) -> bool:
        return topic in self._versions

    def __len__(self) -> int:
        return len(self._versions)
