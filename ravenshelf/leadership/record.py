"""What of a shard must outlive its owner: what was allowed, drained, ramped and refused. Pure.

A record is a map of named fields, each a map. An older program that reads a newer record keeps the fields that it
does not know and writes them back with its own, so that two versions can serve in one cluster. Its size is bounded:
by groups, by listed endpoints, and `tries` by what is still within its hold.
"""

import msgspec

from ravenshelf.errors import RavenshelfError

VERSION = 2
MOST_TRIES = 4096
# by version: what a record of the version before lacks
FIELDS = {1: ("tries", "levels", "drains"), 2: ("ramps",)}
KNOWN = tuple(name for version in sorted(FIELDS) for name in FIELDS[version])


class UnreadableRecordError(RavenshelfError):
    """What is no record at all."""


class Record:
    """`tries`: key of a flow's further try -> count. `levels`: group -> (level, tries), as most lately ordered or what
    allows more. `drains`: endpoint -> the list's version that drained it. `ramps`: endpoint -> its start.

    All keys are names: indices differ between controllers."""

    __slots__ = ("drains", "levels", "ramps", "rest", "tries", "version")

    def __init__(self, tries=None, levels=None, drains=None, ramps=None, rest=None, version=VERSION):
        self.tries: dict[str, int] = dict(tries or {})
        self.levels: dict[str, tuple[float, int]] = {k: tuple(v) for k, v in (levels or {}).items()}
        self.drains: dict[str, int] = dict(drains or {})
        self.ramps: dict[str, int] = dict(ramps or {})
        self.rest: dict = dict(rest or {})
        self.version = version

    def copy(self) -> "Record":
        return Record(self.tries, self.levels, self.drains, self.ramps, self.rest, self.version)

    def __eq__(self, other) -> bool:
        return isinstance(other, Record) and self.pack() == other.pack()

    def pack(self) -> bytes:
        said = {
            "v": max(self.version, VERSION),
            "tries": self.tries,
            "levels": self.levels,
            "drains": self.drains,
            "ramps": self.ramps,
        } | self.rest
        return msgspec.msgpack.encode(said, order="sorted")

    @classmethod
    def unpack(cls, data: bytes | None) -> "Record":
        """None, for a shard that nobody has owned yet, is an empty record."""
        if data is None:
            return cls()
        try:
            said = msgspec.msgpack.decode(data)
            version = said.pop("v")
            known = {name: said.pop(name, {}) for name in KNOWN}
            if not isinstance(version, int) or not all(isinstance(v, dict) for v in known.values()):
                raise TypeError
            return cls(**known, rest=said, version=version)
        except (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError) as why:
            raise UnreadableRecordError(f"expected a shard's record, not {data[:40]!r}") from why

    def covers(self, group: str, level: float, tries: int) -> bool:
        """Whether it already says that so much may have been allowed."""
        had = self.levels.get(group)
        return had is not None and had[0] >= level and had[1] >= tries

    def allow(self, group: str, level: float, tries: int) -> None:
        had = self.levels.get(group, (0.0, 0))
        self.levels[group] = (max(had[0], level), max(had[1], tries))

    def lower(self, group: str, level: float) -> bool:
        """A lower level has left: a successor begins from it. What was allowed of tries stays. True: it has changed."""
        had = self.levels.get(group)
        if had is None or had[0] <= level:
            return False
        self.levels[group] = (level, had[1])
        return True
