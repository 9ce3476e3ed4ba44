"""Load signals from collectd: the values of its packets become host loads for the controller."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.background.decisions import Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.net.datagrams import parse_address
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.process.operations.feature import Measurements
from ravenshelf.time_units import SECOND

if TYPE_CHECKING:
    from ravenshelf.collectd.listener import CollectdListener
    from ravenshelf.process.control_plane import ControlPlaneServer

USERS_TIMER = "users"
USERS_CHECK_INTERVAL = 10 * SECOND
NO_LIST_VERSION = -1  # Placeholder that is lower than any version of the endpoint list.


class CollectdSignals:
    """Listener for collectd's packets; it is off if the operator file has no address to listen at.

    Args:
        operator: The operator file's tables.
        server: The server whose controller gets the host loads.
        background: Scheduler of the background jobs that read the password file.
    """

    def __init__(
        self, operator: OperatorConfiguration, server: ControlPlaneServer, background: BackgroundScheduler
    ) -> None:
        self.table = operator.collectd
        self.server = server
        self.background = background
        self.listener: CollectdListener | None = None
        self.users_modified_at: float = 0.0
        self.endpoints_by_host: dict[str, tuple[int, ...]] = {}
        self.endpoints_version = NO_LIST_VERSION
        self.reloads: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for packets if the operator file has an address to listen at.

        Raises:
            OSError: The address can't be listened at, or the types file can't be read.
            UsersFileError: The password file can't be read or is not valid.
            TypesFileError: The types file is not valid.
        """
        if self.table.listen:
            await self._listen()

    async def _listen(self) -> None:
        from ravenshelf.collectd import types, users
        from ravenshelf.collectd.decisions.host_loads import HostLoads
        from ravenshelf.collectd.listener import CollectdListener

        table = self.table
        server = self.server
        configured_users = users.Users(users.load(table.users) if table.users else {})
        types_text = types.BUILT_IN_TYPES
        if table.types:
            types_text = Path(table.types).read_text(encoding="utf-8")
        parsed_types = types.parse(types_text, table.types or "types.db")
        listener = CollectdListener(
            table,
            configured_users,
            HostLoads(self.endpoints_of, parsed_types, server.counters),
            self.background,
            server.counters,
            server.clock,
            server.publish,
        )
        self.listener = listener
        transport, _ = await server.loop.create_datagram_endpoint(
            lambda: listener, local_addr=parse_address(table.listen)
        )
        host, port = transport.get_extra_info("sockname")[:2]
        log_events.COLLECTD_LISTENING(address=f"{host}:{port}", security=table.security)
        if table.users:
            self._schedule_users_check(server.clock())

    # Endpoints of a host

    def endpoints_of(self, host: str) -> tuple[int, ...]:
        """Return the indices of the listed endpoints on a host, which is named as collectd names it.

        The operator file may name the host of an endpoint. Otherwise the endpoint is on the host whose name
        equals the endpoint's name or the host of its address.
        """
        if self.endpoints_version != self.server.registry.version:
            self._update_endpoints()
            if self.listener is not None:
                self.listener.host_loads.remove_unlisted_hosts()
        return self.endpoints_by_host.get(host, ())

    def _update_endpoints(self) -> None:
        registry = self.server.registry
        indices_by_host: dict[str, list[int]] = {}
        for index in registry.entries:
            name = registry.names[index]
            configured_hosts = [host for host, names in self.table.hosts.items() if name in names]
            endpoint_address = registry.addresses.get(index, "").rpartition(":")[0]
            for host in configured_hosts or {name, endpoint_address} - {""}:
                indices_by_host.setdefault(host, []).append(index)
        self.endpoints_by_host = {host: tuple(indices) for host, indices in indices_by_host.items()}
        self.endpoints_version = registry.version

    # Users

    def _schedule_users_check(self, now: int) -> None:
        self.server.timers.set((USERS_TIMER,), now + USERS_CHECK_INTERVAL)

    def check_users(self, now: int) -> None:
        """Have the password file read in the background if it has changed, and schedule the next check.

        The file is polled, because collectd needs no signal after a change of its password file either.
        """
        self._schedule_users_check(now)
        self.background.offer(
            "collectd.users", Priority.UPKEEP, USERS_CHECK_INTERVAL, self._read_users(), is_perishable=True
        )

    def _read_users(self) -> Iterator[None]:
        from ravenshelf.collectd import users

        file = self.table.users
        try:
            modified_at = os.stat(file).st_mtime_ns
            if modified_at == self.users_modified_at:
                return
            yield
            passwords = users.load(file)
            self.users_modified_at = modified_at
            if self.listener is not None:
                self.listener.users.update(passwords, self.server.clock())
                log_events.COLLECTD_USERS_LOADED(users=len(passwords))
        except (OSError, users.UsersFileError) as error:
            log_events.COLLECTD_USERS_REJECTED(why=str(error))

    # Reload

    def reload(self, previous_operator: OperatorConfiguration, new_operator: OperatorConfiguration) -> None:
        """Replace the listener if the table `[collectd]` changed, otherwise read a changed password file.

        The new listener opens in a task of the event loop.
        """
        self.table = new_operator.collectd
        if previous_operator.collectd != new_operator.collectd:
            self.endpoints_version = NO_LIST_VERSION
            self.endpoints_by_host = {}
            task = self.server.loop.create_task(self._replace_listener())
            self.reloads.add(task)
            task.add_done_callback(self.reloads.discard)
        elif self.table.users and self.listener is not None:
            self.check_users(self.server.clock())

    async def _replace_listener(self) -> None:
        """Replace the listener; the state of the hosts is kept if the types file is the same."""
        former_listener = self.listener
        self.listener = None
        if former_listener is not None:
            former_listener.close()
        if not self.table.listen:
            self.server.timers.cancel((USERS_TIMER,))
            return
        try:
            await self._listen()
        except OSError as error:
            log_events.OPERATOR_CONFIGURATION_REJECTED(why=f"[collectd] listen: {error}")
            return
        if former_listener is not None and former_listener.table.types == self.table.types:
            self._restore_hosts(former_listener)

    def _restore_hosts(self, former_listener: CollectdListener) -> None:
        if self.listener is not None:
            self.listener.host_loads.hosts = former_listener.host_loads.hosts

    def measurements(self) -> Measurements:
        """Return the totals of packets and values since the start; nothing if there is no listener."""
        if self.listener is None:
            return Measurements({}, {})
        from ravenshelf.graphite import metrics

        counters = self.server.counters
        totals: dict[metrics.Metric, float] = {
            metrics.PACKETS_ACCEPTED: counters["collectd_packets"],
            metrics.PACKETS_REJECTED: counters["collectd_rejected"],
            metrics.COLLECTD_VALUES: counters["collectd_values"],
        }
        return Measurements({}, totals)

    def close(self) -> None:
        """Stop listening."""
        for task in self.reloads:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
