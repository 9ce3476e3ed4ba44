"""One controller among several: whose shards are whose, by leases that a majority grants. No I/O, no clock.

Every member is a voter for every shard, and may be the owner of some. For each shard a voter keeps, on disk, the
term that it has promised and the record that it has accepted; in memory, to whom and until when it granted a lease.
An owner needs a majority's grants in one term; a grant names the lease's length, which each counts on its own clock:
the owner from when it asked, less what clocks may drift apart, the voters from when they granted. So at most one
member ever holds a shard's lease, however messages are lost, doubled or late, while clocks drift by DRIFT at most.

Before an owner orders what must not be ordered twice, that is on the shard's record with a majority (`record`,
`may_order`). Whoever asks for the shard later reads a majority and so begins from it: it writes what it read under
its own term before its first order. This is Paxos for one register a shard, with the term as ballot; the proof is
that any two majorities share a voter. `tests` and `benchmarks.leases` play it against a checker.

Times are microseconds of a clock that counts suspension. Members are numbers from 0.
"""

import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ravenshelf.leadership.dividing import capacity, divide

SECOND = 1_000_000
TERMS = 4096  # members at most: a term is a round times this and the member, so no two share one
NONE, PROBING, ASKING, SETTLING, OWNER, LAPSED = "none", "probing", "asking", "settling", "owner", "lapsed"
GRANTING, KEEPING = "granting", "keeping"  # what may be ordered: all, or only what repeats what is known


@dataclass(frozen=True)
class LeaseConfiguration:
    """What all members of one cluster must agree on (checked when they meet), and paces."""

    shards: int = 64
    lease: int = 1_500_000
    drift: float = 0.05  # part by which two clocks may run apart, each way
    renew_every: int = 300_000
    ask_again: int = 150_000  # after an answer that did not come, or a refusal, and as much more by chance
    moves_a_second: float = 24.0  # shards handed over for balance
    takes_a_second: float = 400.0  # shards of a lost one taken over
    settle: int = 3_000_000  # a member must be there for so long before it is dealt what others have
    late_most: int = 150_000  # a loop later than this counts as behind

    def safe(self) -> int:
        """What of the lease an owner may count on, by its own clock."""
        return int(self.lease * (1 - self.drift) / (1 + self.drift))

    def quiet(self) -> int:
        """For so long after its start a voter grants nothing new: it does not know what it had granted."""
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1


class LeaseEffects(Protocol):
    """Where decisions go. What is sent in a step goes out only after what was kept in it is on disk."""

    def keep(self, shard: int, promised: int, term: int, seq: int, record: Any) -> None: ...
    def votes(self) -> None: ...  # kept too: it votes from now on, also after its next start
    def send(self, member: int, message: tuple) -> None: ...
    def changed(self, shard: int, state: str, term: int, record: Any) -> None: ...


@dataclass(slots=True)
class Vote:
    """A voter's part of one shard."""

    promised: int = 0
    term: int = 0  # of the accepted record
    seq: int = 0
    record: Any = None
    owner: int | None = None
    until: int = 0  # of the lease, by our clock


@dataclass(slots=True)
class Claim:
    """An owner's part of one shard."""

    state: str = NONE
    term: int = 0
    asked: int = 0  # when it asked in this term: the lease counts from here
    good: int = 0  # until when the lease is good, by our clock
    again: int = 0  # when to ask (again)
    free: set[int] = field(default_factory=set)  # voters that would grant
    grants: dict[int, tuple] = field(default_factory=dict)  # voter: (term, seq, record) that it had accepted
    renewed: dict[int, set[int]] = field(default_factory=dict)  # number of a renewal: voters that took it
    seq: int = 0  # of the newest record
    safe: int = 0  # the newest that a majority has
    record: Any = None
    written: dict[int, int] = field(default_factory=dict)  # member: newest seq it has
    wrote: int = 0  # when the newest was last sent
    above: int = 0  # the greatest promise that a voter has told of
    step_up: int = 0  # when to ask in a later term, for a voter's sake that has promised one (0: no need)


@dataclass(slots=True)
class Peer:
    heard: int | None = None
    since: int = 0  # when it came (back)
    capacity: float = 1.0
    draining: bool = False
    late: int = 0


class TokenBucket:
    """So many a second, a second's worth at once."""

    def __init__(self, a_second: float):
        self.a_second, self.left, self.at = a_second, a_second, 0

    def take(self, now: int, count: int) -> int:
        self.left = min(self.a_second, self.left + self.a_second * max(0, now - self.at) / SECOND)
        self.at = now
        taken = min(count, int(self.left))
        self.left -= taken
        return taken


class Member:
    """`kept` is what the disk had: {shard: (promised, term, seq, record)}. `recovering`: the disk does not say that it
    `votes`, being empty or of a start that never came so far: it votes for nothing until it has read a majority of
    the others."""

    def __init__(
        self,
        me: int,
        members: int,
        ways: LeaseConfiguration,
        kept: dict[int, tuple],
        now: int,
        chance: random.Random,
        recovering: bool = False,
        capacity: float = 1.0,
    ):
        self.me, self.members, self.ways, self.chance = me, members, ways, chance
        self.majority = members // 2 + 1
        self.votes = [Vote() for _ in range(ways.shards)]
        self.claims = [Claim() for _ in range(ways.shards)]
        for shard, (promised, term, seq, record) in kept.items():
            self.votes[shard] = Vote(promised, term, seq, record)
        self.capacity, self.draining, self.late = capacity, False, 0
        self.peers = {m: Peer() for m in range(members) if m != me}
        self.started = now
        self.quiet_until = now + ways.quiet()
        self.recovering = recovering
        self.read: dict[int, tuple] = {}  # while recovering: whole states of others
        self.number = 0
        self.renewals: deque[tuple[int, int, dict[int, int], set[int]]] = deque(maxlen=12)
        self.renew_at, self.divide_at = now, now + ways.renew_every
        self.moves, self.takes = TokenBucket(ways.moves_a_second), TokenBucket(ways.takes_a_second)
        self.lonely_since: int | None = now  # since when no majority was heard
        self.ticked = now
        self.heirs: dict[
            int, tuple[int, int]
        ] = {}  # shard: (who is to have it, until when it is left to them)
        self.orphans: dict[int, int] = {}  # shard: since when nobody has it, as far as we know

    # --- what may be ordered ---

    def may_order(self, now: int, shard: int, seq: int = 0) -> str | None:
        """Asked *after* an order was formatted, with the record's number that it stands on.

        GRANTING: the lease is good. KEEPING: the lease has lapsed for want of a majority and no later term is known;
        what repeats known tables may go out, nothing that lets a flow be tried again or let in. None: nothing."""
        claim = self.claims[shard]
        if claim.state == OWNER and now < claim.good and claim.safe >= seq:
            return GRANTING
        if (
            claim.state in (OWNER, LAPSED)
            and self.alone(now)
            and max(self.votes[shard].promised, claim.above) <= claim.term
        ):
            return KEEPING
        return None

    def alone(self, now: int) -> bool:
        """Whether no majority has been heard for so long that this is no pause of our own: renewals that were sent
        after the last word of a majority have gone unanswered for two leases."""
        awake = now - self.ticked <= self.ways.lease
        return awake and self.lonely_since is not None and now - self.lonely_since > 2 * self.ways.lease

    def owned(self) -> list[int]:
        return [s for s, c in enumerate(self.claims) if c.state == OWNER]

    # --- an owner's records ---

    def write(self, now: int, shard: int, record: Any, out: LeaseEffects) -> int | None:
        """Puts a shard's new record before the voters; gives its number, for `may_order`. None: not the owner."""
        claim = self.claims[shard]
        if claim.state != OWNER or now >= claim.good:
            return None
        claim.seq, claim.record = claim.seq + 1, record
        self._send_record(now, shard, claim, out)
        return claim.seq

    def _send_record(
        self, now: int, shard: int, claim: Claim, out: LeaseEffects, only: Iterable[int] | None = None
    ) -> None:
        claim.wrote = now
        for member in range(self.members) if only is None else only:
            out.send(member, ("write", [(shard, claim.term, claim.seq, claim.record)]))

    def give(self, now: int, shards: Iterable[int], heir: int | None, out: LeaseEffects) -> list[int]:
        """Gives shards up: orders end at once, then the voters are told that they are free, and for whom."""
        given = []
        for shard in shards:
            claim = self.claims[shard]
            if claim.state == NONE:
                continue
            given.append((shard, claim.term, heir))
            self._become(shard, NONE, out)
            claim.again = now + self.ways.renew_every
        if given:
            for member in range(self.members):
                out.send(member, ("free", given))
        return [shard for shard, _, _ in given]

    # --- time ---

    def tick(self, now: int, out: LeaseEffects) -> int:
        """Does what is due; gives when to be called again at the latest."""
        if now - self.ticked > self.ways.lease and self.lonely_since is not None:
            self.lonely_since = now  # we stood still: what went unanswered meanwhile says nothing
        self.ticked = now
        if self.recovering:
            if now >= self.renew_at:
                self.renew_at = now + self.ways.renew_every
                for member in self.peers:
                    out.send(member, ("read",))
            return self.renew_at
        self._lapse(now, out)
        if now >= self.renew_at:
            self._renew(now, out)
        if now >= self.divide_at:
            self.divide_at = now + self.ways.renew_every // 2
            self._divide(now, out)
        again = []
        for shard, claim in enumerate(self.claims):
            if claim.state in (PROBING, ASKING, SETTLING) and now >= claim.again:
                self._become(shard, NONE, out)
                claim.again = now + self.chance.randrange(self.ways.ask_again)
            if claim.state == OWNER and claim.step_up and now >= claim.step_up:
                self._ask(now, [shard], out)
            if (
                claim.state in (SETTLING, OWNER)
                and claim.safe < claim.seq
                and now - claim.wrote >= self.ways.ask_again
            ):
                self._send_record(
                    now,
                    shard,
                    claim,
                    out,
                    [m for m in range(self.members) if claim.written.get(m, 0) < claim.seq],
                )
            if claim.state in (PROBING, ASKING, SETTLING):
                again.append(claim.again)
            elif claim.state == OWNER:
                again.append(claim.good)
        return max(now + 1000, min([self.renew_at, self.divide_at, *again]))

    def _lapse(self, now: int, out: LeaseEffects) -> None:
        words = sorted((p.heard if p.heard is not None else -1 for p in self.peers.values()), reverse=True)
        word = now if self.majority < 2 else words[self.majority - 2]  # since then no majority was heard
        if now - word <= self.ways.lease and word >= 0:
            self.lonely_since = None
        elif self.lonely_since is None:
            self.lonely_since = (
                now  # from here on, not from the last word: we may have been the one that stood still
            )
        for shard, claim in enumerate(self.claims):
            if claim.state == OWNER and now >= claim.good:
                self._become(shard, LAPSED, out)
            elif claim.state == LAPSED and word > claim.good:
                self._become(shard, NONE, out)  # a majority is there: asked anew, under a later term

    def _become(self, shard: int, state: str, out: LeaseEffects) -> None:
        claim = self.claims[shard]
        if claim.state == state:
            return
        claim.state = state
        if state == NONE:
            claim.grants, claim.renewed, claim.written, claim.free, claim.step_up = {}, {}, {}, set(), 0
        out.changed(shard, state, claim.term, claim.record)

    def _renew(self, now: int, out: LeaseEffects) -> None:
        """Asks for more time on all that is owned, and tells that we are there."""
        self.renew_at = now + self.ways.renew_every
        self.number += 1
        terms = {s: c.term for s, c in enumerate(self.claims) if c.state in (OWNER, SETTLING)}
        self.renewals.append((self.number, now, terms, set()))
        about = (self.capacity, self.draining, self.late)
        for member in range(self.members):
            out.send(member, ("renew", self.number, list(terms.items()), about))

    # --- dividing ---

    def there(self, now: int) -> dict[int, float]:
        """What each member that is heard counts for."""
        weights = {self.me: capacity(self.capacity, self.draining, self.late, self.ways.late_most)}
        for member, peer in self.peers.items():
            if peer.heard is not None and now - peer.heard <= self.ways.lease:
                weights[member] = capacity(peer.capacity, peer.draining, peer.late, self.ways.late_most)
        return weights

    def holder(self, now: int, shard: int) -> int | None:
        """Who has a shard, as far as this voter knows."""
        vote = self.votes[shard]
        if self.claims[shard].state in (OWNER, SETTLING):
            return self.me
        return (
            vote.owner if vote.owner not in (None, self.me) and now < vote.until else None
        )  # ours may be a try that failed

    def _divide(self, now: int, out: LeaseEffects) -> None:
        if now < self.quiet_until or self.lonely_since is not None:
            return
        owners = [self.holder(now, s) for s in range(self.ways.shards)]
        wanted = divide(owners, self.there(now))
        self.orphans = {s: self.orphans.get(s, now) for s, m in enumerate(owners) if m is None}
        # members may know of different owners and each leave an orphan to another: after a while whoever sees it asks
        asks = [
            s
            for s, since in self.orphans.items()
            if (wanted[s] == self.me or now - since > 2 * self.ways.lease)
            and self.claims[s].state == NONE
            and now >= self.claims[s].again
            and self._left_to_us(now, s)
            and not self.draining
        ]
        self._probe(now, asks[: self.takes.take(now, len(asks))], out)
        gives: dict[int, list[int]] = {}
        for shard, member in enumerate(wanted):
            if (
                member not in (None, self.me)
                and self.claims[shard].state == OWNER
                and self._settled(now, member)
            ):
                gives.setdefault(member, []).append(shard)
        for member, shards in gives.items():
            self.give(now, shards[: self.moves.take(now, len(shards))], member, out)

    def _left_to_us(self, now: int, shard: int) -> bool:
        heir, until = self.heirs.get(shard, (self.me, 0))
        return heir == self.me or now >= until

    def _settled(self, now: int, member: int) -> bool:
        """One that comes and goes by turns is dealt nothing."""
        return now - self.peers[member].since >= self.ways.settle

    # --- asking ---

    def _probe(self, now: int, shards: Sequence[int], out: LeaseEffects) -> None:
        """Whether a majority would grant, before anyone promises: one that knows too little of who owns what, as
        after a cut, would else have its own voter promise terms that shut the true owner out."""
        for shard in shards:
            claim = self.claims[shard]
            claim.state, claim.free = PROBING, set()
            claim.again = now + self.ways.ask_again + self.chance.randrange(self.ways.ask_again)
        if shards:
            for member in range(self.members):
                out.send(member, ("probe", list(shards)))

    def _on_probe(self, now: int, member: int, shards: list, out: LeaseEffects) -> None:
        free = [
            s
            for s in shards
            if now >= self.quiet_until
            and (self.votes[s].owner in (None, member) or now >= self.votes[s].until)
        ]
        out.send(member, ("probed", free))

    def _on_probed(self, now: int, member: int, free: list, out: LeaseEffects) -> None:
        ready = []
        for shard in free:
            claim = self.claims[shard]
            if claim.state == PROBING:
                claim.free.add(member)
                if len(claim.free) >= self.majority:
                    ready.append(shard)
        if ready:
            self._ask(now, ready, out)

    def _ask(self, now: int, shards: Sequence[int], out: LeaseEffects) -> None:
        terms = []
        for shard in shards:
            claim, vote = self.claims[shard], self.votes[shard]
            above = max(claim.term, claim.above, vote.promised) // TERMS + 1
            claim.term, claim.asked, claim.good = above * TERMS + self.me, now, 0
            claim.again = now + self.ways.ask_again + self.chance.randrange(self.ways.ask_again)
            claim.grants, claim.renewed, claim.written, claim.seq, claim.safe, claim.step_up = (
                {},
                {},
                {},
                0,
                0,
                0,
            )
            self._become(shard, ASKING, out)
            terms.append((shard, claim.term))
        for member in range(self.members):
            out.send(member, ("ask", terms))

    # --- messages ---

    def hear(self, now: int, member: int, message: tuple, out: LeaseEffects) -> None:
        """A message from a member, ourselves among them (a voter of our own is asked like the others)."""
        if member in self.peers:
            peer = self.peers[member]
            if peer.heard is None or now - peer.heard > self.ways.lease:
                peer.since = now
            peer.heard = now
        kind, *values = message
        if self.recovering and kind not in ("read", "state"):
            return
        getattr(self, f"_on_{kind}")(now, member, *values, out)

    def _on_ask(self, now: int, member: int, terms: list, out: LeaseEffects) -> None:
        granted, refused = [], []
        for shard, term in terms:
            vote = self.votes[shard]
            taken = vote.owner not in (None, member) and now < vote.until
            if term <= vote.promised or taken or now < self.quiet_until:
                refused.append((shard, vote.promised))
                continue
            vote.promised, vote.owner, vote.until = term, member, now + self.ways.lease
            out.keep(shard, vote.promised, vote.term, vote.seq, vote.record)
            granted.append((shard, term, vote.term, vote.seq, vote.record))
            self._superseded(shard, out)
        out.send(member, ("granted", granted, refused))

    def _on_granted(self, now: int, member: int, granted: list, refused: list, out: LeaseEffects) -> None:
        for shard, term, at, seq, record in granted:
            claim = self.claims[shard]
            if claim.state != ASKING or claim.term != term:
                continue
            claim.grants[member] = (at, seq, record)
            if len(claim.grants) >= self.majority:
                self._settle(now, shard, claim, out)
        for shard, promised in refused:
            claim = self.claims[shard]
            claim.above = max(claim.above, promised)  # the next is above it

    def _settle(self, now: int, shard: int, claim: Claim, out: LeaseEffects) -> None:
        """A majority has granted: what any of them has accepted is written again under our term, before any order."""
        claim.good = claim.asked + self.ways.safe()
        _, _, claim.record = max(claim.grants.values(), key=lambda g: g[:2])
        claim.seq, claim.safe, claim.state = 1, 0, SETTLING
        claim.again = claim.good
        self._send_record(now, shard, claim, out)

    def _on_write(self, now: int, member: int, records: list, out: LeaseEffects) -> None:
        written, refused = [], []
        for shard, term, seq, record in records:
            vote = self.votes[shard]
            if term < vote.promised:
                refused.append((shard, term, vote.promised))
                continue
            if (term, seq) > (vote.term, vote.seq):
                vote.promised, vote.term, vote.seq, vote.record = term, term, seq, record
                if (
                    vote.owner != member
                ):  # a promise that this voter has not heard of: as if it had been asked
                    vote.owner, vote.until = member, max(vote.until, now + self.ways.lease)
                out.keep(shard, vote.promised, vote.term, vote.seq, vote.record)
                self._superseded(shard, out)
            written.append((shard, term, seq))
        out.send(member, ("written", written, refused))

    def _on_written(self, now: int, member: int, written: list, refused: list, out: LeaseEffects) -> None:
        for shard, term, seq in written:
            claim = self.claims[shard]
            if claim.term != term or claim.state not in (SETTLING, OWNER):
                continue
            claim.written[member] = max(seq, claim.written.get(member, 0))
            newest = sorted(claim.written.values(), reverse=True)
            if len(newest) >= self.majority:
                claim.safe = max(claim.safe, newest[self.majority - 1])
            if claim.state == SETTLING and claim.safe >= 1:
                if now < claim.good:
                    self._become(shard, OWNER, out)
        self._refused(now, refused)

    def _on_renew(
        self, now: int, member: int, number: int, terms: list, about: tuple, out: LeaseEffects
    ) -> None:
        if member in self.peers:
            peer = self.peers[member]
            peer.capacity, peer.draining, peer.late = about
        good, refused = [], []
        for shard, term in terms:
            vote = self.votes[shard]
            if term > vote.promised and (vote.owner in (None, member) or now >= vote.until):
                vote.promised = (
                    term  # a majority has granted it while this voter was away: it would else know nothing
                )
                out.keep(shard, vote.promised, vote.term, vote.seq, vote.record)
                self._superseded(shard, out)
            if term == vote.promised and (vote.owner in (None, member) or now >= vote.until):
                vote.owner, vote.until = member, now + self.ways.lease
                good.append(shard)
            elif term < vote.promised:
                refused.append((shard, term, vote.promised))
        out.send(member, ("renewed", number, good, refused))

    def _on_renewed(
        self, now: int, member: int, number: int, good: list, refused: list, out: LeaseEffects
    ) -> None:
        for sent_number, at, terms, answered in self.renewals:
            if sent_number == number:
                answered.add(member)
                for shard in good:
                    claim = self.claims[shard]
                    if terms.get(shard) != claim.term or claim.state not in (OWNER, SETTLING, LAPSED):
                        continue
                    self._renewed(shard, claim, number, at, member)
        self._refused(now, refused)

    def _renewed(self, shard: int, claim: Claim, number: int, at: int, member: int) -> None:
        """Counts who has renewed this shard in this renewal; the lease counts from when that was sent."""
        who = claim.renewed.setdefault(number, set())
        who.add(member)
        if len(who) >= self.majority:
            claim.good = max(claim.good, at + self.ways.safe())
        for old in [n for n in claim.renewed if n < number - 12]:
            del claim.renewed[old]

    def _on_free(self, now: int, member: int, given: list, out: LeaseEffects) -> None:
        for shard, term, heir in given:
            vote = self.votes[shard]
            if vote.promised == term and vote.owner == member:
                vote.owner, vote.until = None, 0
                if heir is not None:
                    self.heirs[shard] = (heir, now + 2 * self.ways.renew_every)
                    if heir == self.me and self.claims[shard].state == NONE and self.takes.take(now, 1):
                        self._probe(now, [shard], out)

    # --- later terms ---

    def _refused(self, now: int, refused: list) -> None:
        """A voter has promised a later term than ours. Alone it can't end our lease, a majority shows when it does;
        but it counts for us no more, so after a while we ask in a later term still, and have it back."""
        for shard, term, promised in refused:
            claim = self.claims[shard]
            claim.above = max(claim.above, promised)
            if claim.state == OWNER and claim.term == term and not claim.step_up:
                claim.step_up = now + self.ways.lease + self.chance.randrange(self.ways.lease)

    def _superseded(self, shard: int, out: LeaseEffects) -> None:
        """Our own voter has promised a later term than the one that we own by."""
        claim = self.claims[shard]
        if claim.state in (SETTLING, OWNER, LAPSED) and self.votes[shard].promised > claim.term:
            self._become(shard, NONE, out)

    # --- a member whose disk was empty ---

    def _on_read(self, now: int, member: int, out: LeaseEffects) -> None:
        """The whole state, for one that has lost its own. One that is recovering itself says that it has none."""
        state = (
            None
            if self.recovering
            else [
                (s, v.promised, v.term, v.seq, v.record)
                for s, v in enumerate(self.votes)
                if v.promised or v.seq
            ]
        )
        out.send(member, ("state", state))  # None: nothing is known here either

    def _on_state(self, now: int, member: int, state: list | None, out: LeaseEffects) -> None:
        """Votes again once a majority of the others was read: any majority that accepted something without us has a
        voter among them. Where all others have nothing either, this is a cluster's first start."""
        if not self.recovering or member == self.me:
            return
        self.read[member] = tuple(state) if state is not None else None
        known = [s for s in self.read.values() if s is not None]
        first = not any(known) and len(self.read) == self.members - 1
        if len(known) < self.majority and not first:
            return
        for told in known:
            for shard, promised, term, seq, record in told:
                vote = self.votes[shard]
                vote.promised = max(vote.promised, promised)
                if (term, seq) > (vote.term, vote.seq):
                    vote.term, vote.seq, vote.record = term, seq, record
        for shard, vote in enumerate(self.votes):
            if vote.promised or vote.seq:
                out.keep(shard, vote.promised, vote.term, vote.seq, vote.record)
        out.votes()
        self.recovering, self.read = False, {}
        self.quiet_until = now + self.ways.quiet()
