"""The writer that decisions go to, and what each proxy was sent.

Tables, levels and withdrawals are kept once; the orders of a round become one message for each proxy concerned."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ravenshelf.policy import commands
from ravenshelf.policy.commands import ALL_TABLES


@dataclass
class MessagePart:
    """A part of a message, in our numbers: the groups meant (empty: all), and what changes for them."""

    groups: tuple[int, ...] = ()
    whole: bool = False
    lines: list[tuple[int, float]] = field(default_factory=list)
    level: tuple[float, int] | None = None
    out: list[int] = field(default_factory=list)
    back: list[int] = field(default_factory=list)
    ticket: int | None = None

    def count(self) -> int:
        """Lines as the channel counts them, without the head of the message."""
        singles = self.whole + (self.level is not None) + (self.ticket is not None)
        return singles + len(self.lines) + len(self.out) + len(self.back)


class ProxyTableState:
    """What one joined proxy was sent on its present stream, and what it may have kept from before."""

    def __init__(self, place: int, unknown: bool, past: set[int]):
        self.place = place  # in the order in which proxies joined
        self.bound: dict[int, int] = {}  # traffic group: table
        self.out: set[int] = set()  # written out on this stream and not back again
        self.settled: set[int] = set()  # endpoints of which this stream has said out or back
        self.unknown, self.past = unknown, past
        self.rebound: set[int] = set()
        self.asked: set[int] = set()  # endpoints whose withdrawal this round has changed, or made sure of

    def shuts_out(self, endpoint: int) -> bool:
        """Whether it shuts out an endpoint by an order of this pilot's, of this stream or of one before."""
        return endpoint in self.out or (endpoint in self.past and endpoint not in self.settled)


class ProxyTables:
    def __init__(self, groups: int, alone: bool):
        self.groups, self.alone = tuple(range(groups)), alone
        self.proxies: dict[int, ProxyTableState] = {}
        self.past: dict[int, set[int]] = {}  # by proxy: what this pilot ever wrote out to it
        self.places = 0
        self.dirty: set[int] = set()  # proxies that an order of this round names
        self.forget()

    def forget(self) -> None:
        """Nothing is ordered any more, as at a start; what the proxies hold is remembered."""
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[int, dict[int, tuple[float, int]]] = {}
        self.benched: set[int] = set()
        self.users: dict[int, set[int]] = {}  # by table: the proxies bound to it
        self.loose = set(self.proxies)  # not bound for every traffic group
        self.doubtful: set[int] = set()  # proxies that may hold withdrawals nobody here knows of
        for held in self.proxies.values():
            held.bound = {}
        self.drop()

    def drop(self) -> None:
        """The round's orders are written, or its module failed: what was touched is touched no more."""
        self.touched: dict[int, dict[int, None]] = {}
        self.leveled: dict[int, set[int]] = {}
        self.cleared: set[int] = set()
        self.ticket, self.ticket_for_all = None, False
        self.wakes: list[commands.StartTimer] = []
        self.calls: list[commands.Command] = []
        for held in [self.proxies[p] for p in self.dirty if p in self.proxies]:
            held.rebound, held.asked = set(), set()
        self.dirty.clear()

    # --- proxies come and go ---

    def joined(self, proxy: int, fresh: bool) -> None:
        # a proxy seen before can hold only what this pilot wrote, unless another pilot may have had it meanwhile
        unknown = not fresh and not (self.alone and proxy in self.past)
        self.left(proxy)
        self.places += 1
        self.proxies[proxy] = ProxyTableState(self.places, unknown, set(self.past.setdefault(proxy, set())))
        self.loose.add(proxy)

    def left(self, proxy: int) -> None:
        held = self.proxies.pop(proxy, None)
        for table in set(held.bound.values()) if held is not None else ():
            self.users[table].discard(proxy)
        for known in (self.loose, self.doubtful, self.dirty):
            known.discard(proxy)

    # --- the orders ---

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        if not 0 <= weight < float("inf"):
            raise ValueError(f"weight {weight!r} of a line")
        lines = self.tables.setdefault(table, {})
        self.touched.setdefault(table, {})[endpoint] = None
        if weight:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        self.tables[table], self.levels[table] = {}, {}
        self.touched.pop(table, None)
        self.leveled.pop(table, None)
        self.cleared.add(table)

    def set_ejected(self, endpoint: int, out: bool) -> None:
        (self.benched.add if out else self.benched.discard)(endpoint)
        if out:  # whoever is bound to it later in the round is told with the table
            concerned = self._holders(endpoint)
        else:  # a mere doubt is settled when the channel has room for it
            concerned = {proxy for proxy, held in self.proxies.items() if held.shuts_out(endpoint)}
            self.doubtful |= {p for p in self._holders(endpoint) if self.proxies[p].unknown}
        for proxy in concerned:
            self._ask(proxy, (endpoint,))

    def _holders(self, endpoint: int) -> set[int]:
        """Proxies whose tables hold it, and those of whom it is not known."""
        return self.loose.union(
            *(self.users.get(t, ()) for t, lines in self.tables.items() if endpoint in lines)
        )

    def _ask(self, proxy: int, endpoints) -> None:
        self.proxies[proxy].asked.update(endpoints)
        self.dirty.add(proxy)

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        held = self.proxies.get(proxy)
        if held is None:
            return
        meant = [g for g in self.groups if not groups or groups >> g & 1]
        before = set(held.bound.values())
        held.bound.update(dict.fromkeys(meant, table))
        held.rebound.update(meant)
        for gone in before - set(held.bound.values()):
            self.users[gone].discard(proxy)
        self.users.setdefault(table, set()).add(proxy)
        if len(held.bound) == len(self.groups):
            self.loose.discard(proxy)
        if held.unknown:
            self.doubtful.add(proxy)
        self.dirty.add(proxy)

    def set_admission_level(self, table: int, groups: int, level: float, tries: int) -> None:
        if not 0 <= level < float("inf") or tries not in (0, 1, 2, 3):
            raise ValueError(f"level {level!r} with tries {tries!r}")
        for g in self.groups:
            if not groups or groups >> g & 1:
                self.levels.setdefault(table, {})[g] = (level, tries)
                self.leveled.setdefault(table, set()).add(g)

    def request_acknowledgement(self, number: int, everyone: bool = False) -> None:
        self.ticket, self.ticket_for_all = number, everyone

    def start_timer(self, at: int, key: str) -> None:
        self.wakes.append(commands.StartTimer(at, key))

    def watch_endpoints(self, on: bool) -> None:
        self.calls.append(commands.WatchEndpoints(on))

    def fetch_endpoints(self) -> None:
        self.calls.append(commands.FetchEndpoints())

    def check_health(self, endpoint: int) -> None:
        self.calls.append(commands.CheckHealth(endpoint))

    def send_peer_message(self, peer: int | None, octets: bytes) -> None:
        self.calls.append(commands.SendPeerMessage(peer, octets))

    def log(self, text: str) -> None:
        self.calls.append(commands.LogMessage(text))

    def holds(self, endpoint: int) -> bool:
        return any(endpoint in lines for lines in self.tables.values())

    def given_away(self, endpoint: int) -> None:
        """The number is another endpoint's: what was said of the one before says nothing of it."""
        self.benched.discard(endpoint)
        for kept in self.past.values():
            kept.discard(endpoint)
        for held in self.proxies.values():
            for kept in (held.out, held.past, held.settled):
                kept.discard(endpoint)

    def returned(self, endpoint: int) -> None:
        """One that may be shut out by orders given under another number: proxies let it back with the table it comes in."""
        for kept in self.past.values():
            kept.add(endpoint)
        for held in self.proxies.values():
            held.past.add(endpoint)

    # --- what a proxy may have kept of other pilots, or of this one before it restarted ---

    def doubts(self, proxy: int) -> list[int]:
        """Endpoints in its tables that it may shut out by an order that this pilot does not know of."""
        held = self.proxies[proxy]
        if not held.unknown:
            return []
        known = {e for table in set(held.bound.values()) for e in self.tables.get(table, ())}
        return sorted(known - held.settled - self.benched)

    def in_doubt(self) -> list[tuple[int, list[int]]]:
        """Proxies with doubts, the one that joined first first, and of which endpoints."""
        found = []
        for proxy in sorted(self.doubtful, key=lambda p: self.proxies[p].place):
            doubts = self.doubts(proxy)
            if doubts:
                found.append((proxy, doubts))
            else:  # until its tables change, or a withdrawal ends
                self.doubtful.discard(proxy)
        return found

    def let_back(self, proxy: int, endpoints: list[int]) -> None:
        self._ask(proxy, endpoints)

    # --- the round's messages ---

    def messages(self, made: Callable[[int, list[MessagePart]], bytes] | None = None) -> list[tuple]:
        """One message for each proxy that the round's orders concern; then nothing is touched any more.

        `made` makes each what goes out. Only once all are made does a proxy count as told: where one fails, none goes."""
        out, told = [], []
        for proxy in self._concerned():
            held = self.proxies[proxy]
            parts = self._message(held)
            if self.ticket is not None and (parts or self.ticket_for_all):
                parts = parts or [MessagePart()]
                parts[-1].ticket = self.ticket
            if parts:
                told.append((proxy, held, tuple(parts[0].out), tuple(parts[0].back)))
                out.append((proxy, parts) if made is None else (proxy, parts, made(proxy, parts)))
        for proxy, held, shut_out, let_back in told:
            held.settled.update(shut_out, let_back)
            held.out.update(shut_out)
            held.out.difference_update(let_back)
            self.past[proxy] |= held.out
        self.drop()
        return out

    def _concerned(self) -> list[int]:
        """Proxies that orders of this round may concern, in the order in which they joined."""
        if self.ticket_for_all or ALL_TABLES in self.leveled:
            return list(self.proxies)
        moved = [self.users.get(t, ()) for t in {*self.touched, *self.leveled, *self.cleared}]
        for proxy in set().union(*(self.users.get(t, ()) for t in self.touched)):
            if self.proxies[proxy].unknown:
                self.doubtful.add(proxy)
        return sorted(self.dirty.union(*moved), key=lambda p: self.proxies[p].place)

    def _effective(self, table: int, group: int) -> tuple[float, int] | None:
        """The lower level wins, and the table's own way of trying again."""
        own = self.levels.get(table, {}).get(group)
        all_ = self.levels.get(ALL_TABLES, {}).get(group)
        return (min(own[0], all_[0]), own[1]) if own and all_ else own or all_

    def level_of(self, proxy: int, group: int) -> float | None:
        """The level that the proxy was last sent for a group, or None."""
        held = self.proxies.get(proxy)
        level = self._effective(held.bound.get(group), group) if held is not None else None
        return level[0] if level else None

    def _message(self, held: ProxyTableState) -> list[MessagePart]:
        parts, added = [], {}
        by_table: dict[int | None, list[int]] = {}
        for g in self.groups:
            by_table.setdefault(held.bound.get(g), []).append(g)
        for table, bound in by_table.items():
            lines = self.tables.get(table, {})
            fresh = [g for g in bound if g in held.rebound or table in self.cleared]
            known = [g for g in bound if g not in fresh]
            if fresh and table is not None:
                parts.append(MessagePart(self._named(fresh), True, list(lines.items())))
                added.update(dict.fromkeys(lines))
            changes = (
                [(e, lines.get(e, 0.0)) for e in self.touched.get(table, ())] if table is not None else []
            )
            if known and changes:
                parts.append(MessagePart(self._named(known), False, changes))
                added.update(dict.fromkeys(e for e, weight in changes if weight))
            self._levels(table, fresh, known, parts)
        out, back = self._withdrawals(held, added)
        if out or back:
            parts = parts or [MessagePart()]
            parts[0].out, parts[0].back = out, back
        return parts

    def _named(self, groups: list[int]) -> tuple[int, ...]:
        return () if len(groups) == len(self.groups) else tuple(groups)

    def _levels(
        self, table: int | None, fresh: list[int], known: list[int], parts: list[MessagePart]
    ) -> None:
        """Levels that are new for these groups; a whole table has forgotten them, so they travel with it."""
        moved = self.leveled.get(table, set()) | self.leveled.get(ALL_TABLES, set())
        same: dict[tuple[float, int], list[int]] = {}
        for g in sorted([*(fresh if table is not None else ()), *(g for g in known if g in moved)]):
            level = self._effective(table, g)
            if level is not None:
                same.setdefault(level, []).append(g)
        for level, groups in same.items():
            named = self._named(groups)
            if parts and parts[-1].groups == named and parts[-1].level is None:
                parts[-1].level = level
            else:
                parts.append(MessagePart(named, level=level))

    def _withdrawals(self, held: ProxyTableState, added) -> tuple[list[int], list[int]]:
        """As few lines as do: of what lies in its tables after this round, all where they are not known."""
        out, back = [], []
        tables = [self.tables.get(t, {}) for t in set(held.bound.values())]
        anything = len(held.bound) < len(self.groups)
        for e in sorted({*held.asked, *added}):
            if e in self.benched:
                if e not in held.out and (anything or any(e in lines for lines in tables)):
                    out.append(e)
            elif held.shuts_out(e) or (held.unknown and e in held.asked and e not in held.settled):
                back.append(e)
        return out, back
