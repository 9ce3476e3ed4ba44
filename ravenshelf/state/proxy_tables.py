"""The tables, admission levels and ejections that the controller commands, and what each proxy was sent.

Tables, admission levels and ejections are stored once for all proxies. The commands of a control cycle become
one message for each proxy that they affect.
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
    """The message of a control cycle to one proxy.

    Attributes:
        proxy: Index of the proxy.
        updates: The message's table updates, in the order in which the proxy applies them.
        payload: The encoded message; empty if no encoder was given.
    """

    proxy: int
    updates: list[TableUpdate]
    payload: bytes


class ProxyTables:
    """A `CommandWriter` that turns the commands of a control cycle into messages to proxies.

    Args:
        group_count: Number of traffic groups.
        is_only_server: Whether no other server shares the proxies. If so, a proxy that joined before has
            received tables and ejections from this server only.

    Attributes:
        groups: Indices of all traffic groups.
        proxies: State of each joined proxy, by proxy, in the order of joining.
        past_ejections: Endpoints that this server has ever ejected at a proxy, by proxy. The entry of
            a proxy is kept after the proxy has left.
        join_count: Number of joins so far.
        affected_proxies: Proxies that a command of this cycle names, or whose ejections it changes.
        contents: The tables as commanded so far.
        bound_proxies: Proxies that use a table for at least one traffic group, by table.
        partially_bound_proxies: Proxies that are not bound to a table for every traffic group.
        unreconciled_proxies: Proxies that may have ejected endpoints by commands that this server does not
            know.
        changes: What the commands of this cycle have changed so far.
    """

    def __init__(self, group_count: int, is_only_server: bool):
        self.groups = tuple(range(group_count))
        self.is_only_server = is_only_server
        self.proxies: dict[int, ProxyTableState] = {}
        self.past_ejections: dict[int, set[int]] = {}
        self.join_count = 0
        self.affected_proxies: set[int] = set()
        self.reset()

    def reset(self) -> None:
        """Discard all tables and the cycle's changes, for a new controller.

        What each proxy was sent on its stream is kept, because the proxies still have it.
        """
        self.contents = TableContents()
        self.bound_proxies: dict[int, set[int]] = {}
        self.partially_bound_proxies = set(self.proxies)
        self.unreconciled_proxies: set[int] = set()
        for state in self.proxies.values():
            state.table_by_group = {}
        self.end_cycle()

    def end_cycle(self) -> None:
        """Discard the cycle's changes, after its messages were built or its controller failed."""
        self.changes = CycleChanges()
        for proxy in self.affected_proxies:
            if proxy in self.proxies:
                self.proxies[proxy].end_cycle()
        self.affected_proxies.clear()

    # Proxies

    def add_proxy(self, proxy: int, is_fresh: bool) -> None:
        """Add a proxy that has joined on a new stream; an earlier stream of it counts as ended.

        Args:
            proxy: Index of the proxy.
            is_fresh: Whether the proxy has no table from any server.
        """
        has_known_history = self.is_only_server and proxy in self.past_ejections
        self.remove_proxy(proxy)
        self.join_count += 1
        earlier_ejections = set(self.past_ejections.setdefault(proxy, set()))
        self.proxies[proxy] = ProxyTableState(
            self.join_count, not is_fresh and not has_known_history, earlier_ejections
        )
        self.partially_bound_proxies.add(proxy)

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy whose stream has ended, if it is joined; its past ejections are kept."""
        state = self.proxies.pop(proxy, None)
        for table in set(state.table_by_group.values()) if state is not None else ():
            self.bound_proxies[table].discard(proxy)
        for proxies in (self.partially_bound_proxies, self.unreconciled_proxies, self.affected_proxies):
            proxies.discard(proxy)

    # Commands about tables and proxies

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set an endpoint's weight in a table; see `CommandWriter`.

        Raises:
            ValueError: The weight is negative or not finite.
        """
        if not 0 <= weight < float("inf"):
            raise ValueError(
                f"expected a finite weight of 0 or more, found {weight!r} for endpoint {endpoint}"
            )
        weights = self.contents.weights.setdefault(table, {})
        self.changes.weights.setdefault(table, {})[endpoint] = None
        if weight:
            weights[endpoint] = weight
        else:
            weights.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """Remove all weights and admission levels of a table; see `CommandWriter`."""
        self.contents.weights[table] = {}
        self.contents.admission_levels[table] = {}
        self.changes.weights.pop(table, None)
        self.changes.level_groups.pop(table, None)
        self.changes.cleared_tables.add(table)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint at all proxies, or readmit it; see `CommandWriter`."""
        possible_holders = self._possible_holders(endpoint)
        if ejected:
            # A proxy that is bound to a table with the endpoint later in the cycle is sent the ejection with
            # that table.
            self.contents.ejected_endpoints.add(endpoint)
            proxies_to_update = possible_holders
        else:
            # A proxy whose tables don't contain the endpoint is sent the readmission with the first table
            # that does. The controller charges no message for such a proxy here.
            self.contents.ejected_endpoints.discard(endpoint)
            proxies_to_update = {
                proxy for proxy in possible_holders if self.proxies[proxy].has_ejected(endpoint)
            }
            # Proxies that this server never told to eject the endpoint may still have ejected it. They are
            # reconciled later, when the control channel has capacity for it.
            self.unreconciled_proxies |= {
                proxy for proxy in possible_holders if self.proxies[proxy].has_unknown_history
            }
        for proxy in proxies_to_update:
            self.reconcile_ejections(proxy, (endpoint,))

    def _possible_holders(self, endpoint: int) -> set[int]:
        """Return the proxies that use a table with the endpoint, or may use one.

        A proxy that is not bound for every traffic group may still use any table from an earlier stream.
        """
        tables = [table for table, weights in self.contents.weights.items() if endpoint in weights]
        return self.partially_bound_proxies.union(*(self.bound_proxies.get(table, ()) for table in tables))

    def reconcile_ejections(self, proxy: int, endpoints: Iterable[int]) -> None:
        """Send a proxy the present state of the endpoints, ejected or readmitted, with this cycle's message.

        Args:
            proxy: Index of a joined proxy.
            endpoints: Indices of the endpoints.
        """
        self.proxies[proxy].changed_ejections.update(endpoints)
        self.affected_proxies.add(proxy)

    def _selected_groups(self, groups: int) -> list[int]:
        """Return the traffic groups of a bit mask, where 0 stands for all groups."""
        return [group for group in self.groups if not groups or groups >> group & 1]

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Bind a proxy to a table, unless the proxy has left; see `CommandWriter`."""
        state = self.proxies.get(proxy)
        if state is None:
            return
        selected_groups = self._selected_groups(groups)
        former_tables = set(state.table_by_group.values())
        state.table_by_group.update(dict.fromkeys(selected_groups, table))
        state.rebound_groups.update(selected_groups)
        for former_table in former_tables - set(state.table_by_group.values()):
            self.bound_proxies[former_table].discard(proxy)
        self.bound_proxies.setdefault(table, set()).add(proxy)
        if len(state.table_by_group) == len(self.groups):
            self.partially_bound_proxies.discard(proxy)
        if state.has_unknown_history:
            self.unreconciled_proxies.add(proxy)
        self.affected_proxies.add(proxy)

    def set_admission_level(self, table: int, groups: int, level: float, retry_mode: int) -> None:
        """Set the admission level of traffic groups in a table; see `CommandWriter`.

        Raises:
            ValueError: The level is negative or not finite, or the retry mode is not one of `RETRY_MODES`.
        """
        if not 0 <= level < float("inf") or retry_mode not in RETRY_MODES:
            raise ValueError(
                "expected a finite admission level of 0 or more and a retry mode from 0 to 3, "
                f"found level {level!r} and retry mode {retry_mode!r}"
            )
        for group in self._selected_groups(groups):
            levels = self.contents.admission_levels.setdefault(table, {})
            levels[group] = AdmissionLevel(level, retry_mode)
            self.changes.level_groups.setdefault(table, set()).add(group)

    def request_acknowledgement(self, marker: int, all_proxies: bool = False) -> None:
        """Add a marker to this cycle's messages; see `CommandWriter`."""
        self.changes.marker = marker
        self.changes.marker_for_all_proxies = all_proxies

    # Commands that are carried out after the messages are written

    def start_timer(self, at: int, key: str) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.timers.append(commands.StartTimer(at, key))

    def watch_endpoints(self, enabled: bool) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.commands.append(commands.WatchEndpoints(enabled))

    def fetch_endpoints(self) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.commands.append(commands.FetchEndpoints())

    def check_health(self, endpoint: int) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.commands.append(commands.CheckHealth(endpoint))

    def send_peer_message(self, peer: int | None, payload: bytes) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.commands.append(commands.SendPeerMessage(peer, payload))

    def log(self, text: str) -> None:
        """Record the command; see `CommandWriter`."""
        self.changes.commands.append(commands.LogMessage(text))

    # Indices of endpoints

    def has_endpoint(self, endpoint: int) -> bool:
        """Return whether any table contains the endpoint."""
        return self.contents.has_endpoint(endpoint)

    def forget_ejections(self, endpoint: int) -> None:
        """Discard the ejections of an index that was reassigned to another endpoint."""
        self.contents.ejected_endpoints.discard(endpoint)
        for endpoints in self.past_ejections.values():
            endpoints.discard(endpoint)
        for state in self.proxies.values():
            state.forget_endpoint(endpoint)

    def assume_ejected(self, endpoint: int) -> None:
        """Record an endpoint as ejected at every proxy.

        An endpoint that returns under a new index may still be ejected at any proxy under its former index.
        Each proxy readmits it with the next table that contains it.
        """
        for endpoints in self.past_ejections.values():
            endpoints.add(endpoint)
        for state in self.proxies.values():
            state.earlier_ejections.add(endpoint)

    # Ejections by other servers, or by this server before a restart

    def possible_ejections(self, proxy: int) -> list[int]:
        """Return the endpoints that a proxy may have ejected by commands that this server does not know.

        Only endpoints in the tables that the proxy is bound to are considered.

        Args:
            proxy: Index of a joined proxy.

        Returns:
            Sorted indices of endpoints.
        """
        state = self.proxies[proxy]
        if not state.has_unknown_history:
            return []
        weights = self.contents.weights
        bound_tables = set(state.table_by_group.values())
        bound_endpoints = {endpoint for table in bound_tables for endpoint in weights.get(table, ())}
        return sorted(bound_endpoints - state.reconciled_endpoints - self.contents.ejected_endpoints)

    def proxies_to_reconcile(self) -> list[tuple[int, list[int]]]:
        """Return the proxies that have possible ejections, with these endpoints, in the order of joining."""
        possible_ejections_by_proxy = []
        for proxy in self._in_join_order(self.unreconciled_proxies):
            endpoints = self.possible_ejections(proxy)
            if endpoints:
                possible_ejections_by_proxy.append((proxy, endpoints))
            else:
                # The proxy is added again when its tables change or an ejection ends.
                self.unreconciled_proxies.discard(proxy)
        return possible_ejections_by_proxy

    def _in_join_order(self, proxies: Collection[int]) -> list[int]:
        return sorted(proxies, key=lambda proxy: self.proxies[proxy].join_order)

    # The cycle's messages

    def build_messages(
        self, encode: Callable[[int, list[TableUpdate]], bytes] | None = None
    ) -> list[ProxyMessage]:
        """Build one message for each proxy that the cycle's commands affect, and end the cycle.

        The states of the proxies change only after all messages have been encoded. If `encode` raises an
        error for one message, none of the messages counts as sent.

        Args:
            encode: Function of a proxy and its table updates that returns the payload. It may change the
                updates; their ejections count as they were before.

        Returns:
            The messages, in the order in which their proxies joined.
        """
        messages: list[ProxyMessage] = []
        ejections: list[tuple[tuple[int, ...], tuple[int, ...]]] = []
        builder = MessageBuilder(self.groups, self.contents, self.changes)
        for proxy in self._proxies_to_write():
            updates = self._add_marker(builder.build_updates(self.proxies[proxy]))
            if updates:
                ejections.append(
                    (tuple(updates[0].ejected_endpoints), tuple(updates[0].readmitted_endpoints))
                )
                payload = encode(proxy, updates) if encode is not None else b""
                messages.append(ProxyMessage(proxy, updates, payload))
        for message, (ejected_endpoints, readmitted_endpoints) in zip(messages, ejections, strict=True):
            state = self.proxies[message.proxy]
            state.reconciled_endpoints.update(ejected_endpoints, readmitted_endpoints)
            state.ejected_endpoints.update(ejected_endpoints)
            state.ejected_endpoints.difference_update(readmitted_endpoints)
            self.past_ejections[message.proxy] |= state.ejected_endpoints
        self.end_cycle()
        return messages

    def _add_marker(self, updates: list[TableUpdate]) -> list[TableUpdate]:
        """Add the cycle's marker, if there is one, to the last of the updates, and return the updates."""
        if self.changes.marker is None or not (updates or self.changes.marker_for_all_proxies):
            return updates
        updates = updates or [TableUpdate()]
        updates[-1].marker = self.changes.marker
        return updates

    def _proxies_to_write(self) -> list[int]:
        """Return the proxies that commands of this cycle may affect, in the order of joining."""
        if self.changes.marker_for_all_proxies or ALL_TABLES in self.changes.level_groups:
            return list(self.proxies)
        for table in self.changes.weights:
            for proxy in self.bound_proxies.get(table, ()):
                if self.proxies[proxy].has_unknown_history:
                    self.unreconciled_proxies.add(proxy)
        proxies_by_table = [self.bound_proxies.get(table, ()) for table in self.changes.changed_tables()]
        return self._in_join_order(self.affected_proxies.union(*proxies_by_table))

    def admission_level_of(self, proxy: int, group: int) -> float | None:
        """Return the admission level that applies to a traffic group at a proxy.

        Returns:
            The level, or None if the proxy has not joined or no level is set for the group.
        """
        state = self.proxies.get(proxy)
        if state is None:
            return None
        level = self.contents.effective_admission_level(state.table_by_group.get(group), group)
        return level.level if level is not None else None
