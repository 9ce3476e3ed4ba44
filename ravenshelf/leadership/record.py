"""What of a shard outlives its holder: what was admitted, drained, warming up and shed. Pure.

A record is a map of named fields, each a map. An older program that reads a newer record keeps the fields
that it does not know and writes them back with its own, so that two versions can serve in one cluster. Its
size is bounded: by traffic groups, by listed endpoints, and the retries by those that are still within
their hold time.
"""

from collections.abc import Mapping
from typing import Any, cast

import msgspec

from ravenshelf.errors import RavenshelfError

VERSION = 2
# the stored fields by the version that added them; a record of an earlier version lacks them
FIELDS_BY_VERSION = {1: ("tries", "levels", "drains"), 2: ("ramps",)}
KNOWN_FIELDS = tuple(name for version in sorted(FIELDS_BY_VERSION) for name in FIELDS_BY_VERSION[version])
SHOWN_BYTES = 40


class UnreadableRecordError(RavenshelfError):
    """Bytes that are no record. `data` is what was found."""

    def __init__(self, data: bytes) -> None:
        super().__init__(f"expected a shard's record, not {data[:SHOWN_BYTES]!r}")
        self.data = data


class Record:
    """State of one shard. All keys are names, for indices differ between control-plane servers.

    `retries`: key of a request -> its granted retries. `admission_levels`: traffic group -> (level,
    retry mode), as last ordered, or what admits more. `drained_at`: endpoint -> version of the endpoint list
    that drained it. `warming_since`: endpoint -> its start. `unknown_fields`: those of a later version, as
    stored.
    """

    __slots__ = ("admission_levels", "drained_at", "retries", "unknown_fields", "version", "warming_since")

    def __init__(
        self,
        retries: Mapping[str, int] | None = None,
        admission_levels: Mapping[str, tuple[float, int]] | None = None,
        drained_at: Mapping[str, int] | None = None,
        warming_since: Mapping[str, int] | None = None,
        unknown_fields: Mapping[str, Any] | None = None,
        version: int = VERSION,
    ) -> None:
        self.retries: dict[str, int] = dict(retries or {})
        levels = {group: tuple(level) for group, level in (admission_levels or {}).items()}
        self.admission_levels = cast("dict[str, tuple[float, int]]", levels)
        self.drained_at: dict[str, int] = dict(drained_at or {})
        self.warming_since: dict[str, int] = dict(warming_since or {})
        self.unknown_fields: dict[str, Any] = dict(unknown_fields or {})
        self.version = version

    def copy(self) -> "Record":
        """A record of its own with the same content."""
        return Record(
            self.retries,
            self.admission_levels,
            self.drained_at,
            self.warming_since,
            self.unknown_fields,
            self.version,
        )

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Record) and self.pack() == other.pack()

    def pack(self) -> bytes:
        """The record as it is stored and sent."""
        fields = {
            "v": max(self.version, VERSION),
            "tries": self.retries,
            "levels": self.admission_levels,
            "drains": self.drained_at,
            "ramps": self.warming_since,
        } | self.unknown_fields
        return msgspec.msgpack.encode(fields, order="sorted")

    @classmethod
    def unpack(cls, data: bytes | None) -> "Record":
        """The record of stored bytes; empty for None, a shard that nobody has held yet.

        Raises UnreadableRecordError.
        """
        if data is None:
            return cls()
        try:
            fields = msgspec.msgpack.decode(data)
            version = fields.pop("v")
            tries, levels, drains, ramps = (fields.pop(name, {}) for name in KNOWN_FIELDS)
            if not isinstance(version, int):
                raise TypeError
            if not all(isinstance(field, dict) for field in (tries, levels, drains, ramps)):
                raise TypeError
            return cls(tries, levels, drains, ramps, fields, version)
        except (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError) as error:
            raise UnreadableRecordError(data) from error

    def covers(self, group: str, level: float, retry_mode: int) -> bool:
        """Whether it says already that so much may be admitted."""
        recorded = self.admission_levels.get(group)
        return recorded is not None and recorded[0] >= level and recorded[1] >= retry_mode

    def admit(self, group: str, level: float, retry_mode: int) -> None:
        """Raises what may be admitted."""
        recorded = self.admission_levels.get(group, (0.0, 0))
        self.admission_levels[group] = (max(recorded[0], level), max(recorded[1], retry_mode))

    def lower(self, group: str, level: float) -> bool:
        """A lower level was sent: a successor begins from it.

        The retry mode stays. Returns whether the record changed.
        """
        recorded = self.admission_levels.get(group)
        if recorded is None or recorded[0] <= level:
            return False
        self.admission_levels[group] = (level, recorded[1])
        return True
