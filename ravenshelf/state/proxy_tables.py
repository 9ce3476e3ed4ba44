"""The command writer of the control cycle, and what each proxy was sent.

Tables, admission levels and ejections are kept once; the commands of a control cycle become one message
for each proxy that they concern.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from ravenshelf.policy import commands
from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.message_building import MessageBuilder
from ravenshelf.state.proxy_table_state import ProxyTableState
from ravenshelf.state.table_contents import CycleChanges, TableContents
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate

RETRY_MODES = (0, 1, 2, 3)


class ProxyMessage(NamedTuple):
    """One proxy's message of a control cycle; `payload` is empty where it was not encoded."""

    proxy: int
    updates: list[TableUpdate]
    payload: bytes


class ProxyTables:
    """Takes a control cycle's commands (it is a `CommandWriter`) and gives the messages that carry them out.

    `group_count` is the number of traffic groups. `is_only_server`: no other server shares the proxies, so a
    proxy seen before holds nothing but what this server wrote.
    """

    def __init__(self, group_count: int, is_only_server: bool):
        self.groups = tuple(range(group_count))
        self.is_only_server = is_only_server
        self.proxies: dict[int, ProxyTableState] = {}
        self.past_ejections: dict[
            int, set[int]
        ] = {}  # by proxy: endpoints that this server ever ejected at it
        self.join_count = 0
        self.affected_proxies: set[int] = set()  # named by a command of this cycle
        self.reset()

    def reset(self) -> None:
        """Forget all tables, as at a start; what the proxies hold is remembered."""
        self.contents = TableContents()
        self.bound_proxies: dict[int, set[int]] = {}  # by table
        self.partially_bound_proxies = set(self.proxies)  # not bound for every traffic group
        self.unreconciled_proxies: set[int] = (
            set()
        )  # proxies that may hold ejections which are not known here
        for state in self.proxies.values():
            state.table_by_group = {}
        self.end_cycle()

    def end_cycle(self) -> None:
        """Forget the cycle's changes: its messages are made, or its controller failed."""
        self.changes = CycleChanges()
        for proxy in self.affected_proxies:
            if proxy in self.proxies:
                self.proxies[proxy].end_cycle()
        self.affected_proxies.clear()

    # --- proxies join and leave ---

    def add_proxy(self, proxy: int, is_fresh: bool) -> None:
        """Begin a new stream of a proxy; a fresh one holds no tables of anyone's."""
        is_known_here = self.is_only_server and proxy in self.past_ejections
        self.remove_proxy(proxy)
        self.join_count += 1
        earlier_ejections = set(self.past_ejections.setdefault(proxy, set()))
        self.proxies[proxy] = ProxyTableState(
            self.join_count, not is_fresh and not is_known_here, earlier_ejections
        )
        self.partially_bound_proxies.add(proxy)

    def remove_proxy(self, proxy: int) -> None:
        """End a proxy's stream; what was ever ejected at it is remembered."""
        state = self.proxies.pop(proxy, None)
        for table in set(state.table_by_group.values()) if state is not None else ():
            self.bound_proxies[table].discard(proxy)
        for proxies in (self.partially_bound_proxies, self.unreconciled_proxies, self.affected_proxies):
            proxies.discard(proxy)

    # --- commands about tables and proxies ---

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """See `CommandWriter`; raises ValueError where the weight is negative or not finite."""
        if not 0 <= weight < float("inf"):
            raise ValueError(f"weight {weight!r} of endpoint {endpoint}")
        weights = self.contents.weights.setdefault(table, {})
        self.changes.weights.setdefault(table, {})[endpoint] = None
        if weight:
            weights[endpoint] = weight
        else:
            weights.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """See `CommandWriter`."""
        self.contents.weights[table] = {}
        self.contents.admission_levels[table] = {}
        self.changes.weights.pop(table, None)
        self.changes.level_groups.pop(table, None)
        self.changes.cleared_tables.add(table)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """See `CommandWriter`."""
        if ejected:  # a proxy that is bound to it later in the cycle gets the ejection with the table
            self.contents.ejected_endpoints.add(endpoint)
            concerned = self._holders(endpoint)
        else:  # a mere possibility is reconciled when the control channel has capacity for it
            self.contents.ejected_endpoints.discard(endpoint)
            concerned = {proxy for proxy, state in self.proxies.items() if state.has_ejected(endpoint)}
            holders = self._holders(endpoint)
            self.unreconciled_proxies |= {
                proxy for proxy in holders if self.proxies[proxy].has_unknown_history
            }
        for proxy in concerned:
            self.reconcile_ejections(proxy, (endpoint,))

    def _holders(self, endpoint: int) -> set[int]:
        """Return the proxies whose tables hold the endpoint, or may hold it."""
        tables = [table for table, weights in self.contents.weights.items() if endpoint in weights]
        return self.partially_bound_proxies.union(*(self.bound_proxies.get(table, ()) for table in tables))

    def reconcile_ejections(self, proxy: int, endpoints: Iterable[int]) -> None:
        """Have this cycle's message eject or readmit the endpoints at a proxy, as they stand."""
        self.proxies[proxy].changed_ejections.update(endpoints)
        self.affected_proxies.add(proxy)

    def _selected_groups(self, groups: int) -> list[int]:
        return [group for group in self.groups if not groups or groups >> group & 1]

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """See `CommandWriter`; a proxy that has left is passed over."""
        state = self.proxies.get(proxy)
        if state is None:
            return
        selected = self._selected_groups(groups)
        former_tables = set(state.table_by_group.values())
        state.table_by_group.update(dict.fromkeys(selected, table))
        state.rebound_groups.update(selected)
        for former in former_tables - set(state.table_by_group.values()):
            self.bound_proxies[former].discard(proxy)
        self.bound_proxies.setdefault(table, set()).add(proxy)
        if len(state.table_by_group) == len(self.groups):
            self.partially_bound_proxies.discard(proxy)
        if state.has_unknown_history:
            self.unreconciled_proxies.add(proxy)
        self.affected_proxies.add(proxy)

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """See `CommandWriter`; raises ValueError where the level or the retry mode is none."""
        if not 0 <= level < float("inf") or retry_mode not in RETRY_MODES:
            raise ValueError(f"admission level {level!r} with retry mode {retry_mode!r}")
        for group in self._selected_groups(groups):
            levels = self.contents.admission_levels.setdefault(table, {})
            levels[group] = AdmissionLevel(level, retry_mode)
            self.changes.level_groups.setdefault(table, set()).add(group)

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """See `CommandWriter`."""
        self.changes.marker = marker
        self.changes.marker_for_all_proxies = all_proxies

    # --- commands that are carried out after the messages ---

    def start_timer(self, at: int, key: str) -> None:
        """See `CommandWriter`."""
        self.changes.timers.append(commands.StartTimer(at, key))

    def watch_endpoints(self, enabled: bool) -> None:
        """See `CommandWriter`."""
        self.changes.commands.append(commands.WatchEndpoints(enabled))

    def fetch_endpoints(self) -> None:
        """See `CommandWriter`."""
        self.changes.commands.append(commands.FetchEndpoints())

    def check_health(self, endpoint: int) -> None:
        """See `CommandWriter`."""
        self.changes.commands.append(commands.CheckHealth(endpoint))

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """See `CommandWriter`."""
        self.changes.commands.append(commands.SendPeerMessage(peer, payload))

    def log(self, text: str) -> None:
        """See `CommandWriter`."""
        self.changes.commands.append(commands.LogMessage(text))

    # --- indices of endpoints ---

    def has_endpoint(self, endpoint: int) -> bool:
        """Return whether a table holds the endpoint."""
        return self.contents.has_endpoint(endpoint)

    def forget_ejections(self, endpoint: int) -> None:
        """Forget what was ejected under an index: it is another endpoint's now."""
        self.contents.ejected_endpoints.discard(endpoint)
        for endpoints in self.past_ejections.values():
            endpoints.discard(endpoint)
        for state in self.proxies.values():
            state.forget_endpoint(endpoint)

    def assume_ejected(self, endpoint: int) -> None:
        """Take an endpoint for ejected everywhere, as it may be from the time when it had another index.

        Proxies then readmit it with the next table that holds it.
        """
        for endpoints in self.past_ejections.values():
            endpoints.add(endpoint)
        for state in self.proxies.values():
            state.earlier_ejections.add(endpoint)

    # --- ejections by other servers, or by this one before it restarted ---

    def possible_ejections(self, proxy: int) -> list[int]:
        """Return the endpoints of its tables that it may have ejected by an order that is not known here."""
        state = self.proxies[proxy]
        if not state.has_unknown_history:
            return []
        weights = self.contents.weights
        bound_tables = set(state.table_by_group.values())
        bound = {endpoint for table in bound_tables for endpoint in weights.get(table, ())}
        return sorted(bound - state.reconciled_endpoints - self.contents.ejected_endpoints)

    def proxies_to_reconcile(self) -> list[tuple[int, list[int]]]:
        """Return proxies with possibly ejected endpoints, and which those are, in the order of joining."""
        found = []
        for proxy in self._in_join_order(self.unreconciled_proxies):
            endpoints = self.possible_ejections(proxy)
            if endpoints:
                found.append((proxy, endpoints))
            else:  # until its tables change, or an ejection ends
                self.unreconciled_proxies.discard(proxy)
        return found

    def _in_join_order(self, proxies: Collection[int]) -> list[int]:
        return sorted(proxies, key=lambda proxy: self.proxies[proxy].join_order)

    # --- the cycle's messages ---

    def build_messages(
        self, encode: Callable[[int, list[TableUpdate]], bytes] | None = None
    ) -> list[ProxyMessage]:
        """Return one message for each proxy that the cycle's commands concern, and end the cycle.

        `encode(proxy, updates)` makes the payload and may change the updates. The proxies' states change only
        once all messages are encoded: where one raises, none counts as sent.
        """
        messages: list[ProxyMessage] = []
        ejections: list[tuple[tuple[int, ...], tuple[int, ...]]] = []
        builder = MessageBuilder(self.groups, self.contents, self.changes)
        for proxy in self._proxies_to_write():
            updates = self._with_marker(builder.build_updates(self.proxies[proxy]))
            if updates:
                ejections.append(
                    (tuple(updates[0].ejected_endpoints), tuple(updates[0].readmitted_endpoints))
                )
                payload = encode(proxy, updates) if encode is not None else b""
                messages.append(ProxyMessage(proxy, updates, payload))
        for message, (ejected, readmitted) in zip(messages, ejections, strict=True):
            state = self.proxies[message.proxy]
            state.reconciled_endpoints.update(ejected, readmitted)
            state.ejected_endpoints.update(ejected)
            state.ejected_endpoints.difference_update(readmitted)
            self.past_ejections[message.proxy] |= state.ejected_endpoints
        self.end_cycle()
        return messages

    def _with_marker(self, updates: list[TableUpdate]) -> list[TableUpdate]:
        if self.changes.marker is None or not (updates or self.changes.marker_for_all_proxies):
            return updates
        updates = updates or [TableUpdate()]
        updates[-1].marker = self.changes.marker
        return updates

    def _proxies_to_write(self) -> list[int]:
        """Return the proxies that commands of this cycle may concern, in the order of joining."""
        if self.changes.marker_for_all_proxies or ALL_TABLES in self.changes.level_groups:
            return list(self.proxies)
        for table in self.changes.weights:
            for proxy in self.bound_proxies.get(table, ()):
                if self.proxies[proxy].has_unknown_history:
                    self.unreconciled_proxies.add(proxy)
        bound = [self.bound_proxies.get(table, ()) for table in self.changes.changed_tables()]
        return self._in_join_order(self.affected_proxies.union(*bound))

    def admission_level_of(self, proxy: int, group: int) -> float | None:
        """Return the admission level that the proxy was last sent for a traffic group, or None."""
        state = self.proxies.get(proxy)
        if state is None:
            return None
        level = self.contents.effective_admission_level(state.table_by_group.get(group), group)
        return level.level if level is not None else None
