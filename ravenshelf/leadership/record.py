"""The record of a shard, from which the next holder of its lease continues. No I/O, no clock.

A record is a map of named fields, each a map. A program of an earlier version that reads a record of a later
one keeps the fields that it does not support and writes them back with its own, so that two versions can
serve in one cluster. The size of a record is bounded by the number of traffic groups, of listed endpoints,
and of retries that are still within their hold time.
"""

from collections.abc import Mapping
from typing import Any, cast

import msgspec

from ravenshelf.errors import RavenshelfError

VERSION = 2
# the stored fields by the version that added them; a record of an earlier version lacks them
FIELDS_BY_VERSION = {1: ("tries", "levels", "drains"), 2: ("ramps",)}
KNOWN_FIELDS = tuple(name for version in sorted(FIELDS_BY_VERSION) for name in FIELDS_BY_VERSION[version])
SHOWN_BYTES = 40  # the error message shows at most this number of bytes of an unreadable record


class UnreadableRecordError(RavenshelfError):
    """Bytes that cannot be decoded as a record; `data` contains the bytes."""

    def __init__(self, data: bytes) -> None:
        super().__init__(f"expected a shard's record, not {data[:SHOWN_BYTES]!r}")
        self.data = data


class Record:
    """The state of one shard. All keys are names, because indices differ between control-plane servers.

    Attributes:
        retries: The number of granted retries, by the key of the request.
        admission_levels: The admission level and the retry mode of each traffic group, as last commanded or
            higher.
        drained_at: The version of the endpoint list that drained an endpoint, by endpoint.
        warming_since: When an endpoint that is warming up started, microseconds, by endpoint.
        unknown_fields: The fields of a later version, as stored.
        version: The version that the record was written in.
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
        """Return a copy that can be changed independently."""
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
        """Return the record as it is stored and sent."""
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
        """Return the record of stored bytes, or an empty one for None: a shard that had no holder yet.

        Raises:
            UnreadableRecordError: The bytes are not a record.
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
        """Return whether the record already permits this admission level and retry mode."""
        recorded_admission = self.admission_levels.get(group)
        return (
            recorded_admission is not None
            and recorded_admission[0] >= level
            and recorded_admission[1] >= retry_mode
        )

    def admit(self, group: str, level: float, retry_mode: int) -> None:
        """Raise the recorded admission level and retry mode to at least these."""
        recorded_admission = self.admission_levels.get(group, (0.0, 0))
        self.admission_levels[group] = (
            max(recorded_admission[0], level),
            max(recorded_admission[1], retry_mode),
        )

    def lower(self, group: str, level: float) -> bool:
        """Lower the recorded admission level after a lower one was sent, so that a successor starts from it.

        The retry mode stays as it is.

        Returns:
            Whether the record changed.
        """
        recorded_admission = self.admission_levels.get(group)
        if recorded_admission is None or recorded_admission[0] <= level:
            return False
        self.admission_levels[group] = (level, recorded_admission[1])
        return True
