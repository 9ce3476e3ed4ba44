"""Between the control cycle of a control-plane server and its leases.

The decisions see only proxies of shards whose lease is held, and no order is sent without permission. The
judging is that of `ShardGate`, `InheritedState` and `Member`; here their answers meet the proxies'
connections.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from ravenshelf.leadership.decisions import Member, Permission
from ravenshelf.leadership.gate import RecordRequirements, ShardGate, WaitingCommand
from ravenshelf.leadership.inheritance import InheritedState
from ravenshelf.leadership.record import Record, UnreadableRecordError
from ravenshelf.leadership.shard_placement import shard_of_proxy
from ravenshelf.policy.events import EndpointsListed, EndpointState, Event, ProxyJoined, ProxyLeft
from ravenshelf.state.counters import Counters
from ravenshelf.state.message_part import AdmissionLevel, MessagePart

INHERITED_RETRY_MODE_LIMIT = 1  # of a level that a complete table would otherwise reset


class EncodedCommand(NamedTuple):
    """A message as it is written to a proxy, and the marker that the proxy acknowledges."""

    message: bytes
    marker: int | None


class HeldShard:
    """A shard whose lease is held: its waiting orders, and what it inherited."""

    __slots__ = ("gate", "inherited", "term")

    def __init__(self, term: int, record: Record, now: int, list_version: int) -> None:
        self.term = term
        self.gate = ShardGate(record)
        self.inherited = InheritedState(now, record.copy(), list_version)


class LeaseFilter:
    """Filters events on their way to the decisions, and orders on their way to the proxies.

    `report_event` hands an event to the control cycle; `write(proxy, message, marker, term)` writes to a
    proxy; `write_record(shard, record)` sends a record to the voters and returns its number, or None;
    `list_version` is the version of the endpoint list, `endpoint_name` and `endpoint_index` translate its
    endpoints; `warming_since` has the endpoints that are warming up now, and `restore_warm_up` takes over
    those of an earlier holder.
    """

    def __init__(
        self,
        member: Member,
        clock: Callable[[], int],
        groups: list[str],
        counters: Counters,
        *,
        report_event: Callable[[Event], None],
        write: Callable[[int, bytes, int | None, int], None],
        write_record: Callable[[int, bytes], int | None],
        endpoint_name: Callable[[int], str],
        list_version: Callable[[], int],
        endpoint_index: Callable[[str], int | None],
        warming_since: Callable[[], Mapping[str, int]],
        restore_warm_up: Callable[[Mapping[str, int]], None],
    ) -> None:
        self.member = member
        self.clock = clock
        self.groups = groups
        self.counters = counters
        self.shards = member.configuration.shards
        self.connected_proxies: dict[int, ProxyJoined] = {}  # every proxy with a connection here
        self.bound_proxies: set[int] = set()  # those that the decisions know
        self.owned_shards: dict[int, HeldShard] = {}
        self._report_event = report_event
        self._write = write
        self._write_record = write_record
        self._endpoint_name = endpoint_name
        self._list_version = list_version
        self._endpoint_index = endpoint_index
        self._warming_since = warming_since
        self._restore_warm_up = restore_warm_up

    # --- events on their way to the decisions ---

    def passes(self, event: Event) -> bool:
        """Takes in an event; returns whether the decisions are to have it now."""
        if isinstance(event, ProxyJoined):
            self.connected_proxies[event.proxy] = event
            if self._shard_of(event.proxy) not in self.owned_shards:
                return False
            self.bound_proxies.add(event.proxy)
        elif isinstance(event, ProxyLeft):
            self.connected_proxies.pop(event.proxy, None)
            self.bound_proxies.discard(event.proxy)
        elif isinstance(event, EndpointsListed):
            self._endpoints_listed(event)
        return True

    def _endpoints_listed(self, event: EndpointsListed) -> None:
        ready = [
            self._endpoint_name(entry.endpoint)
            for entry in event.entries
            if entry.state is EndpointState.READY
        ]
        for shard, held in self.owned_shards.items():
            held.inherited.endpoints_listed(self._list_version(), ready)
            undrained = [endpoint for endpoint in ready if not held.inherited.is_drained(endpoint)]
            if held.gate.end_drains(undrained):
                self._extend_record(shard, held)

    def _shard_of(self, proxy: int) -> int:
        return shard_of_proxy(proxy, self.shards)

    # --- leases ---

    def lease_acquired(self, shard: int, term: int, packed: bytes | None) -> None:
        """The lease is held and a quorum has the record: the shard's proxies are bound."""
        record = self._unpack(packed)
        held = self.owned_shards.get(shard)
        if held is not None:  # held all the time, now in a later term: waiting orders are sent in that
            held.term = term
            if held.gate.begin_term(record):
                self._extend_record(shard, held)
            self._send_permitted_of(shard)
            return
        held = HeldShard(term, record, self.clock(), self._list_version())
        self.owned_shards[shard] = held
        self._restore_warm_up(held.inherited.warming_since())
        for proxy, joined in list(self.connected_proxies.items()):
            if self._shard_of(proxy) == shard and proxy not in self.bound_proxies:
                self.bound_proxies.add(proxy)
                self._report_event(joined._replace(is_fresh=False))

    def _unpack(self, packed: bytes | None) -> Record:
        try:
            return Record.unpack(packed)
        except UnreadableRecordError:
            self.counters["records_unreadable"] += 1
            return Record()

    def lease_lost(self, shard: int) -> None:
        """The decisions forget the shard's proxies; waiting orders are dropped."""
        if self.owned_shards.pop(shard, None) is None:
            return
        for proxy in [proxy for proxy in self.bound_proxies if self._shard_of(proxy) == shard]:
            self.bound_proxies.discard(proxy)
            self._report_event(ProxyLeft(proxy, True))

    # --- orders on their way to the proxies ---

    def apply_inherited_state(self, proxy: int, parts: list[MessagePart]) -> None:
        """Changes a message to what the decisions do not know yet.

        Endpoints stay ejected that a later list than ours drained, and load that an earlier holder shed is
        admitted step by step.
        """
        held = self.owned_shards.get(self._shard_of(proxy))
        now = self.clock()
        if held is None or held.inherited.has_ended(now):
            return
        self._keep_drained(held.inherited, parts)
        for part in parts:
            ordered = part.admission_level
            if ordered is not None:
                groups = [self.groups[group] for group in part.groups] or self.groups
                level = min(held.inherited.limit_level(now, group, ordered.level) for group in groups)
                part.admission_level = AdmissionLevel(level, ordered.retry_mode)
        self._restore_levels(now, held.inherited, parts)

    def _keep_drained(self, inherited: InheritedState, parts: list[MessagePart]) -> None:
        indices = map(self._endpoint_index, inherited.drained_at)
        drained = {index for index in indices if index is not None}
        if not drained:
            return
        for part in parts:
            part.readmitted = [endpoint for endpoint in part.readmitted if endpoint not in drained]
            part.ejected = part.ejected + [
                endpoint
                for endpoint, weight in part.weights
                if weight and endpoint in drained and endpoint not in part.ejected
            ]

    def _restore_levels(self, now: int, inherited: InheritedState, parts: list[MessagePart]) -> None:
        """A complete table resets admission levels: the inherited ones are ordered after it."""
        complete = [part for part in parts if part.is_complete and part.admission_level is None]
        for part in complete:
            for group in part.groups or range(len(self.groups)):
                name = self.groups[group]
                recorded = inherited.record.admission_levels.get(name)
                level = inherited.limit_level(now, name, float("inf"))
                if recorded is not None and level < float("inf"):
                    retry_mode = min(recorded[1], INHERITED_RETRY_MODE_LIMIT)
                    parts.append(MessagePart((group,), admission_level=AdmissionLevel(level, retry_mode)))

    def submit(self, proxy: int, parts: list[MessagePart], message: bytes, marker: int | None) -> None:
        """Takes an order; it is sent when and if it is permitted."""
        shard = self._shard_of(proxy)
        held = self.owned_shards.get(shard)
        if held is None:
            self.counters["orders_without_lease"] += 1
            return
        requirements = self._requirements(held, parts)
        if held.gate.submit(proxy, EncodedCommand(message, marker), requirements):
            self._extend_record(shard, held)
        self._send_permitted_of(shard)

    def _requirements(self, held: HeldShard, parts: list[MessagePart]) -> RecordRequirements:
        requirements = RecordRequirements()
        for part in parts:
            if part.admission_level is not None:
                level, retry_mode = part.admission_level
                for group in part.groups or range(len(self.groups)):
                    requirements.levels.append((self.groups[group], level, retry_mode))
            for endpoint in part.ejected:
                name = self._endpoint_name(endpoint)
                if not held.inherited.is_drained(name):
                    requirements.drains.append((name, self._list_version()))
        return requirements

    def _extend_record(self, shard: int, held: HeldShard) -> None:
        record = held.gate.extended_record(self._warming_since())
        seq = self._write_record(shard, record.pack())
        if seq is not None:
            self.counters["records_written"] += 1
            held.gate.record_written(record, seq)

    def send_permitted(self) -> None:
        """Sends what may be sent of all shards."""
        for shard in list(self.owned_shards):
            self._send_permitted_of(shard)

    def _send_permitted_of(self, shard: int) -> None:
        held = self.owned_shards.get(shard)
        if held is None:
            return
        claim = self.member.claims[shard]
        if claim.term != held.term:
            return
        now = self.clock()

        def is_permitted(order: WaitingCommand) -> bool:
            permission = self.member.permission(now, shard, order.seq)
            if permission is Permission.REPEAT_ONLY:
                return order.requirements.is_met_by(held.gate.record)
            return permission is Permission.FULL

        permitted = held.gate.take_permitted(claim.committed_seq, is_permitted)
        for order in permitted:
            self._send(shard, held, order)
        record = held.gate.lowered_record(permitted)
        if record is not None:
            seq = self._write_record(shard, record.pack())
            if seq is not None:
                held.gate.record_written(record, seq)
        self._bind_overflowed(shard, held)

    def _send(self, shard: int, held: HeldShard, order: WaitingCommand) -> None:
        # asked again: this process may have been paused since the order was looked at
        if self.member.permission(self.clock(), shard, order.seq) is None:
            self.counters["orders_not_permitted"] += 1
            held.gate.overflowed.add(order.proxy)
            return
        self.counters["orders_fenced"] += 1
        self._write(order.proxy, order.message.message, order.message.marker, held.term)

    def _bind_overflowed(self, shard: int, held: HeldShard) -> None:
        """The decisions believe in orders that were never sent: these proxies are bound again."""
        if not held.gate.overflowed or self.member.permission(self.clock(), shard) is None:
            return
        for proxy in list(held.gate.overflowed):
            held.gate.discard(proxy)
            if proxy in self.bound_proxies:
                self._report_event(ProxyLeft(proxy, True))
                self._report_event(self.connected_proxies[proxy]._replace(is_fresh=False))

    def proxy_count(self, shards: Iterable[int]) -> int:
        """How many connected proxies are in these shards."""
        wanted = set(shards)
        return sum(self._shard_of(proxy) in wanted for proxy in self.connected_proxies)


def add_term(message: bytes, term: int) -> bytes:
    """The order with its term, by which a proxy rejects orders of an earlier one."""
    return b"CONFIG term=%d" % term + message.removeprefix(b"CONFIG")
