"""What to do with receivers of figures: when to dial, write, wait, give up; whose a figure is; what is dropped.

No I/O; the clock is passed in, times are microseconds. A point is (path, value); a batch is one measurement's
points of one importance, whose time all of them carry however late they are sent.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice

import xxhash

SECOND = 1_000_000
DIAL_BY = 3 * SECOND
STALLED_AFTER, GIVEN_UP_AFTER = 5 * SECOND, 15 * SECOND  # of a batch that the system does not take off us
REST_LEAST, REST_MOST = SECOND // 2, 60 * SECOND  # between dials: full jitter up to a doubling bound
DIALS, DIALS_OVER = 10, 60 * SECOND  # no more dials than so many in such a time
LOST_AFTER, SETTLED_AFTER = 10 * SECOND, 20 * SECOND  # until a share moves, and until it moves back
DOUBT_SPAN = 10 * SECOND  # after which what the system took counts as received
RESTING, DIALLING, SENDING, STALLED = "resting", "dialling", "sending", "stalled"
IMPORTANCES = ("essential", "useful", "detail")  # of a figure; what goes first is the last of these


class Receiver:
    """One receiver's state. `due` says what to do now; the edge does it and tells what came of it."""

    def __init__(self, now: int, chance: random.Random):
        self.chance = chance
        self.state, self.until, self.failures = RESTING, now, 0
        self.dials: deque[int] = deque(maxlen=DIALS)
        self.since = now  # of the present state
        self.given: int | None = None  # when the oldest batch that is still with us was handed over
        self.good, self.away = now, False

    def next(self) -> int | None:
        """When `due` is to be asked again, where nothing is told before."""
        if self.state == SENDING:
            return None if self.given is None else self.given + STALLED_AFTER
        return self.until

    def due(self, now: int) -> str | None:
        """ "dial", "hang up", "stalled" or nothing."""
        at = self.next()
        if at is None or now < at:
            return None
        if self.state == RESTING:
            self._become(DIALLING, now)
            self.until = now + DIAL_BY
            self.dials.append(now)
            return "dial"
        if self.state == SENDING:
            self._become(STALLED, now)
            self.until = self.given + GIVEN_UP_AFTER
            return "stalled"
        return "hang up"

    def _become(self, state: str, now: int) -> None:
        if self.state == SENDING:
            self.good = now
        self.state, self.since = state, now

    def dialled(self, now: int) -> None:
        self._become(SENDING, now)
        self.given = None

    def gave(self, now: int) -> None:
        self.given = now if self.given is None else self.given

    def drained(self, now: int) -> None:
        """All that was handed over has left us; one that had stalled goes on."""
        self.given = None
        if self.state == STALLED:
            self._become(SENDING, now)

    def failed(self, now: int) -> None:
        """The connection is gone, or none came: rests, the longer the more often it failed in a row."""
        if self.state == SENDING and now - self.since >= SETTLED_AFTER:
            self.failures = 0  # not at once when dialled: one that accepts and resets would be stormed
        self._become(RESTING, now)
        bound = min(REST_MOST, REST_LEAST << min(self.failures, 20))
        self.until = now + REST_LEAST // 2 + round(self.chance.random() * bound)
        if len(self.dials) == DIALS:
            self.until = max(self.until, self.dials[0] + DIALS_OVER)
        self.failures, self.given = self.failures + 1, None

    def holds_share(self, now: int) -> bool:
        """Whether its share of the figures is its own. It is lost late and given back later still: flapping
        would have a figure's points here and there by turns."""
        if self.away:
            self.away = not (self.state == SENDING and now - self.since >= SETTLED_AFTER)
        else:
            self.away = self.state != SENDING and now - self.good >= LOST_AFTER
        return not self.away


# --- whose a figure is ---


class Shares:
    """Rendezvous hashing: each figure ranks the receivers; the first that holds its share has it. When one is
    lost only its figures move, and the same move back."""

    def __init__(self, receivers: Sequence[str], most: int = 100_000):
        self.receivers, self.most = tuple(receivers), most
        self.ranks: dict[str, tuple[int, ...]] = {}

    def rank(self, path: str) -> tuple[int, ...]:
        ranked = self.ranks.get(path)
        if ranked is None:
            score = [xxhash.xxh64_intdigest(f"{path}\0{r}".encode()) for r in self.receivers]
            ranked = tuple(sorted(range(len(score)), key=lambda n: (-score[n], n)))
            if len(self.ranks) >= self.most:
                self.ranks.clear()
            self.ranks[path] = ranked
        return ranked

    def owner(self, path: str, holding: Sequence[bool]) -> int:
        """Where none holds its share, the first stays the owner: its figures wait there."""
        ranked = self.rank(path)
        return next((n for n in ranked if holding[n]), ranked[0])


# --- what waits ---


@dataclass(slots=True, eq=False)
class Batch:
    time: int  # seconds, aligned to the interval
    importance: int  # index in IMPORTANCES
    points: list[tuple[str, float]]
    text: list[bytes] = field(default_factory=list)  # formatted, where that is done; shared by receivers
    tried: bool = False  # may have been taken in part: it is sent again whole, to the same receiver alone
    taken: int | None = None  # when the system took the last of it

    def __len__(self) -> int:
        return len(self.points)


@dataclass(slots=True)
class Backlog:
    """What one receiver has yet to take: bounded in points, dropped by importance, oldest first.

    The present goes out before what is old, and what is old at `pace` points a second at most, so that a return
    after hours does not crowd out what is measured now. After a broken connection what the system took within
    DOUBT_SPAN is sent again whole: carbon drops a line or frame that is cut, and writes the same point twice over
    itself, so twice is harmless and not at all is a gap."""

    most: int
    pace: int
    waiting: list[deque[Batch]] = field(default_factory=lambda: [deque() for _ in IMPORTANCES])
    doubt: deque[Batch] = field(default_factory=deque)  # handed over, in this order
    size: int = 0
    room: float = 0.0
    at: int | None = None
    dropped: int = 0

    def add(self, batch: Batch) -> list[Batch]:
        """Takes a batch in; gives those that are dropped for it, which may be itself."""
        self.waiting[batch.importance].append(batch)
        self.size += len(batch)
        return self._trim()

    def _trim(self) -> list[Batch]:
        out = []
        while self.size > self.most:
            line = next((w for w in reversed(self.waiting) if w), None)
            if line is None:  # only what is in doubt is left: its oldest is let go
                batch = self.doubt.popleft()
            else:
                batch = line.popleft()
            self.size -= len(batch)
            self.dropped += len(batch)
            out.append(batch)
        return out

    def _fill(self, now: int) -> None:
        if self.at is not None:
            self.room = min(2.0 * self.pace, self.room + self.pace * (now - self.at) / SECOND)
        self.at = now

    def take(self, now: int, present: int) -> Batch | None:
        """The next batch to write: of the time `present` or later first, then the oldest, as the pace allows."""
        self._fill(now)
        for line in self.waiting:
            if line and line[-1].time >= present:
                return self._hand_over(line, line[-1])
        lines = [line for line in self.waiting if line]
        if not lines or self.room < 0:
            return None
        line = min(lines, key=lambda w: w[0].time)
        self.room -= len(line[0])
        return self._hand_over(line, line[0])

    def _hand_over(self, line: deque[Batch], batch: Batch) -> Batch:
        line.remove(batch)
        batch.tried, batch.taken = True, None
        self.doubt.append(batch)
        return batch

    def next(self, now: int) -> int | None:
        """When more may be taken, or None where nothing waits."""
        if not any(self.waiting):
            return None
        self._fill(now)
        return now if self.room >= 0 else now + int(-self.room * SECOND / self.pace) + 1

    def drained(self, now: int) -> None:
        """The system has taken all that was handed over."""
        for batch in self.doubt:
            batch.taken = now if batch.taken is None else batch.taken

    def settle(self, now: int) -> list[Batch]:
        """Gives what was taken long enough ago: it counts as received."""
        out = []
        while self.doubt and self.doubt[0].taken is not None and now - self.doubt[0].taken >= DOUBT_SPAN:
            out.append(self.doubt.popleft())
        self.size -= sum(map(len, out))
        return out

    def broken(self) -> None:
        """The connection is gone: what is in doubt goes out again, whole, in its old place."""
        for batch in reversed(self.doubt):
            line = self.waiting[batch.importance]
            place = next((n for n, other in enumerate(line) if other.time >= batch.time), len(line))
            line.insert(place, batch)
        self.doubt.clear()

    def give_up(self, tried: bool = False) -> list[Batch]:
        """Takes out, oldest first, what was never handed to the receiver (`tried`: that too)."""
        out = []
        for importance, line in enumerate(self.waiting):
            out += [b for b in line if tried or not b.tried]
            self.waiting[importance] = deque(b for b in line if b.tried and not tried)
        if tried:
            out += self.doubt
            self.doubt.clear()
        self.size -= sum(map(len, out))
        return sorted(out, key=lambda b: (b.time, b.importance))

    def old(self, present: int, most: int, may: Callable[[Batch], bool] = lambda batch: True) -> list[Batch]:
        """Takes out up to so many batches from before `present` that `may` go to the spool, oldest first."""
        found = sorted(
            (b for line in self.waiting for b in line if b.time < present and may(b)), key=lambda b: b.time
        )
        out = list(islice(found, most))
        for batch in out:
            self.waiting[batch.importance].remove(batch)
            self.size -= len(batch)
        return out


# --- a new set of receivers ---


def moves(old: Sequence[str], new: Sequence[str], route: str) -> dict[str, list[str]]:
    """Where the waiting figures of a receiver that is named no more go: {old: [new, ...]}. Pure.

    By share they go to whoever owns them now (all that are left, the caller asks `Shares`). Where each receiver has
    all figures, those that stay have theirs; the waiting ones of the first that left go to each that came."""
    left, came = [r for r in old if r not in new], [r for r in new if r not in old]
    if route == "hash":
        return {r: list(new) for r in left}
    return {r: came if n == 0 else [] for n, r in enumerate(left)}


def apart(points: Iterable[tuple[str, float]], shares: Shares, holding: Sequence[bool]) -> dict[int, list]:
    """Points by the receiver that owns them."""
    out: dict[int, list] = {}
    for point in points:
        out.setdefault(shares.owner(point[0], holding), []).append(point)
    return out
