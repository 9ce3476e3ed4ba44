"""What the operator file turns on beside a pilot: background work, figures to Graphite, collectd's values.

Nothing of it is imported where the file leaves it off, and nothing of it can hold up a round: its deadlines are met
after the rounds', its work is done in slices that give way to them.
"""

import os
import random
import resource
from collections.abc import Callable
from itertools import starmap
from typing import TYPE_CHECKING

from ravenshelf import log_events
from ravenshelf.background.decisions import JobQueue, Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.operator_config.tables import Operator
from ravenshelf.policy.events import EndpointsListed, ListKind

if TYPE_CHECKING:
    from ravenshelf.graphite.points import Sample

SECOND = 1_000_000
USERS_EVERY = 10 * SECOND  # the file of collectd's users is looked at so often
PAGE = os.sysconf("SC_PAGE_SIZE")


def vitals() -> tuple[float, int]:
    """Resident memory in MB, open descriptors."""
    with open("/proc/self/statm", "rb") as file:
        pages = int(file.read().split()[1])
    return pages * PAGE / 1e6, len(os.listdir("/proc/self/fd"))


class Operations:
    KEYS = ("background", "figures", "graphite", "users")  # the deadlines that are met here

    def __init__(self, operator: Operator, pilot, chance: random.Random):
        self.operator, self.pilot, self.chance = operator, pilot, chance
        self.counters, self.clock = pilot.counters, pilot.clock
        self.background = BackgroundScheduler(
            self._job_queue(operator.background),
            pilot.clock,
            lambda at: pilot.timers.set(("background",), at),
            pilot.cycle_scheduler.is_due,
            pilot.counters,
        )
        self.graphite = self.gatherer = self.listener = self.leadership = None
        self.places: tuple[int, dict] = (-1, {})  # the list's version, endpoints by host
        self.before: dict[str, float] = {}
        self.users_seen: float = 0.0
        self.distribution = None
        if operator.distribution.service:
            self._subscribe()  # before the first round: its controller takes the owner's tables
        if operator.leadership.name:
            self._lead()  # before anyone is accepted: what joins is owned or not from the first

    @staticmethod
    def _job_queue(table) -> JobQueue:
        return JobQueue(
            table.jobs,
            round(table.turn_ms * 1000),
            round(table.a_second_ms * 1000),
            round(table.ageing_s * SECOND),
        )

    async def start(self) -> None:
        if self.leadership is not None:
            await self.leadership.start()
        if self.distribution is not None:
            self.distribution.start()
        if self.operator.graphite.receivers:
            self._start_graphite()
        if self.operator.collectd.listen:
            await self._start_collectd()

    # --- tables of the service's owner ---

    def _subscribe(self) -> None:
        from ravenshelf.distribution.pilot_service import PilotDistribution
        from ravenshelf.leadership.cluster import clock

        pilot, table = self.pilot, self.operator.distribution
        self.distribution = PilotDistribution(
            table.service,
            table.cluster,
            table.name,
            table.parents,
            pilot.loop,
            clock,
            self.chance,
            name_of=lambda index: pilot.registry.names[index],
            index_of=pilot.registry.index_by_name.get,
        )
        pilot.observers.append(self.distribution)
        pilot.control_cycle.decide_with(self.distribution.controller)

    # --- other controllers ---

    def _lead(self) -> None:
        from ravenshelf.leadership.adapter import Adapter, with_term
        from ravenshelf.leadership.cluster import clock
        from ravenshelf.leadership.service import Leadership

        pilot, table = self.pilot, self.operator.leadership

        def ended(why: str) -> None:
            pilot.failure = why
            pilot.stop()

        def write(proxy: int, message: bytes, mark: int | None, term: int) -> None:
            pilot.acceptor.write(
                proxy, with_term(message, term) if pilot.acceptor.checks_terms(proxy) else message, mark
            )

        self.leadership = Leadership(
            table, self.operator.store.folder, pilot.loop, self.counters, self.chance, ended
        )
        self.leadership.adapter = pilot.admission_gate = pilot.control_cycle.admission_gate = Adapter(
            self.leadership.member,
            clock,
            pilot.control_cycle.group_names,
            self.counters,
            report_event=pilot.deliver,
            write=write,
            write_record=self.leadership.write_record,
            endpoint_name=lambda n: pilot.registry.names[n],
            list_version=lambda: pilot.registry.version,
            endpoint_index=pilot.registry.index_by_name.get,
            warming_since=self._ramps,
            restore_warm_up=self._warm,
        )

    def _ramps(self) -> dict[str, int]:
        """Endpoints that have started of late, with their starts."""
        since = self.clock() - 60 * SECOND
        return {
            self.pilot.registry.names[index]: entry.started_at
            for index, entry in self.pilot.registry.entries.items()
            if entry.started_at > since
        }

    def _warm(self, starts: dict[str, int]) -> None:
        """Tells the decisions of starts that another controller knew and our list does not."""
        listing, news = self.pilot.registry, []
        for name, start in starts.items():
            entry = listing.entries.get(listing.index_by_name.get(name))
            if entry is not None and entry.started_at < start:
                news.append(entry._replace(started_at=start))
        if news:
            self.pilot.deliver(EndpointsListed(ListKind.UPDATE, tuple(news)))

    # --- Graphite ---

    def _start_graphite(self) -> None:
        from ravenshelf.graphite.collector import MetricsCollector
        from ravenshelf.graphite.service import GraphiteService

        pilot, table = self.pilot, self.operator.graphite
        self.gatherer = MetricsCollector(
            pilot.control_cycle.settings,
            self._prefix(table),
            self.clock(),
            pilot.proxy_tables.admission_level_of,
            lambda n: pilot.registry.names[n],
        )
        self.gatherer.on_event(EndpointsListed(ListKind.RESTORED, pilot.registry.snapshot()), self.clock())
        for joined in pilot.control_cycle.joined.values():
            self.gatherer.on_event(joined, self.clock())
        self.graphite = GraphiteService(
            table,
            self.chance,
            loop=pilot.loop,
            clock=self.clock,
            background=self.background,
            wake_at=lambda receiver, at: pilot.timers.set(("graphite", receiver), at),
        )
        pilot.observers.insert(0, self.gatherer)
        pilot.control_cycle.cycle_observer = self.gatherer
        self._next_figures(self.clock())

    def _prefix(self, table) -> str:
        from ravenshelf.graphite.formats import path_component

        return f"{table.prefix}.{path_component(str(self.pilot.configuration.get('name', 'pilot')))}"

    def _next_figures(self, now: int) -> None:
        every = self.operator.graphite.every_s * SECOND
        self.pilot.timers.set(("figures",), (now // every + 1) * every)

    def figures(self, now: int) -> None:
        """Closes an interval; the points are made in the background and carry the interval's boundary as time."""
        from ravenshelf.graphite.service import interval_boundary

        self._next_figures(now)
        time = interval_boundary(now, self.operator.graphite.every_s)
        take = lambda importance, points: self.graphite.export(time, importance, points)  # noqa: E731
        work = self.gatherer.points(now, self.pilot.control_cycle.controller, self._samples(now), take)
        self.background.offer("figures", Priority.PRESENT, 2 * SECOND, work)

    def _samples(self, now: int) -> "list[Sample]":
        """What others have counted: sums as rates a second since the last figures, levels as they are."""
        from ravenshelf.graphite import metrics
        from ravenshelf.graphite.points import Sample

        memory, descriptors = vitals()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        counts = {
            metrics.PROCESS_MEMORY: memory,
            metrics.PROCESS_DESCRIPTORS: descriptors,
            metrics.BACKGROUND_QUEUED: len(self.background.queue),
            metrics.BACKGROUND_DROPPED: self.counters["background_dropped"],
            metrics.CONTROL_CYCLES_FAILED: self.counters["controller_failures"],
        }
        sums = {
            metrics.CONTROL_CYCLES: self.counters["control_cycles"],
            metrics.MESSAGES_SENT: self.counters["messages_sent"],
            metrics.LINES_SENT: self.counters["lines_sent"],
            metrics.PROCESS_CPU: usage.ru_utime + usage.ru_stime,
            metrics.BACKGROUND_UTILIZATION: self.counters["background_us"] / 1e6,
        }
        if self.leadership is not None:
            lead = self.leadership
            counts |= {
                metrics.SHARDS_OWNED: len(lead.member.held_shards()),
                metrics.MEMBERS_CONNECTED: 1 + len(lead.connections.links),
                metrics.COMMANDS_WAITING: sum(len(owned.gate) for owned in lead.adapter.owned.values()),
            }
            sums |= {
                metrics.STORE_COMMITS: lead.store.committer.batches,
                metrics.RECORDS_WRITTEN: self.counters["records_written"],
            }
        if self.listener is not None:
            sums |= {
                metrics.PACKETS_ACCEPTED: self.counters["collectd_packets"],
                metrics.PACKETS_REJECTED: self.counters["collectd_rejected"],
                metrics.COLLECTD_VALUES: self.counters["collectd_values"],
            }
        was, self.before = self.before, sums | {"at": now}
        if was:
            seconds = max(1e-3, (now - was["at"]) / SECOND)
            counts |= {metric: (number - was.get(metric, 0)) / seconds for metric, number in sums.items()}
        return [*self.graphite.samples(), *starmap(Sample, counts.items())]

    # --- collectd ---

    async def _start_collectd(self) -> None:
        from pathlib import Path

        from ravenshelf.collectd import types, users
        from ravenshelf.collectd.decisions.host_loads import HostLoads
        from ravenshelf.collectd.listener import CollectdListener
        from ravenshelf.net.datagrams import address

        table = self.operator.collectd
        known = users.Users(users.load(table.users) if table.users else {})
        text = Path(table.types).read_text(encoding="utf-8") if table.types else types.BUILT_IN_TYPES
        host_loads = HostLoads(self.endpoints, types.parse(text, table.types or "types.db"), self.counters)
        self.listener = CollectdListener(
            table, known, host_loads, self.background, self.counters, self.clock, self.pilot.publish
        )
        transport, _ = await self.pilot.loop.create_datagram_endpoint(
            lambda: self.listener, local_addr=address(table.listen)
        )
        host, port = transport.get_extra_info("sockname")[:2]
        log_events.COLLECTD_LISTENING(address=f"{host}:{port}", security=table.security)
        if table.users:
            self.pilot.timers.set(("users",), self.clock() + USERS_EVERY)

    def endpoints(self, host: str) -> tuple[int, ...]:
        """The listed endpoints on a collectd host: named in the operator file, or by its name, or by its address."""
        listing = self.pilot.registry
        if self.places[0] != listing.version:
            places: dict[str, list[int]] = {}
            for index in listing.entries:
                name = listing.names[index]
                by_hand = [h for h, names in self.operator.collectd.hosts.items() if name in names]
                address = listing.addresses.get(index, "").rpartition(":")[0]
                for place in by_hand or {name, address} - {""}:
                    places.setdefault(place, []).append(index)
            self.places = listing.version, {place: tuple(found) for place, found in places.items()}
            if self.listener is not None:
                self.listener.host_loads.forget_unlisted_hosts()
        return self.places[1].get(host, ())

    def _look_at_users(self, now: int) -> None:
        """A changed file of users is taken without a signal, as collectd does."""
        self.pilot.timers.set(("users",), now + USERS_EVERY)

        def work():
            from ravenshelf.collectd import users

            file = self.operator.collectd.users
            try:
                changed = os.stat(file).st_mtime_ns
                if changed != self.users_seen:
                    yield
                    known, self.users_seen = users.load(file), changed
                    self.listener.users.update(known, self.clock())
                    log_events.COLLECTD_USERS_LOADED(users=len(known))
            except (OSError, users.UsersFileError) as why:
                log_events.COLLECTD_USERS_REJECTED(why=str(why))

        self.background.offer("collectd.users", Priority.UPKEEP, USERS_EVERY, work(), perishable=True)

    # --- the pilot's calls ---

    def meet(self, key: tuple, now: int) -> None:
        if key[0] == "background":
            self.background.run_turn()
        elif key[0] == "figures":
            self.figures(now)
        elif key[0] == "graphite":
            self.graphite.run_due(key[1])
        elif key[0] == "users":
            self._look_at_users(now)

    def renew(self, operator: Operator, done: Callable[[str], None]) -> None:
        """Takes a new operator file whole; `done` is told what changed. What listens anew does so on the loop."""
        from ravenshelf.operator_config.reading import changed

        old, self.operator = self.operator, operator
        names = changed(old, operator)
        if "background" in names:
            self.background.replace_queue(self._job_queue(operator.background))
        if "graphite" in names:
            self._renew_graphite(old.graphite, operator.graphite)
        if "collectd" in names:
            self.places = (-1, {})
            self.pilot.loop.create_task(self._renew_collectd(old.collectd))
        elif operator.collectd.users and self.listener is not None:
            self._look_at_users(self.clock())
        if self.leadership is not None:
            try:  # certificates may have been renewed under the same names
                self.leadership.read_certificates()
            except OSError as why:
                log_events.CERTIFICATES_REJECTED(why=str(why))
        for name in sorted({"leadership", "store", "distribution"} & set(names)):
            if name == "distribution" or self.leadership is not None:
                log_events.RESTART_REQUIRED(table=name)
        done(", ".join(f"[{name}]" for name in names) or "nothing changed")

    def _renew_graphite(self, old, new) -> None:
        if self.graphite is None:
            if new.receivers:
                self._start_graphite()
            return
        if not new.receivers:
            self.graphite.close()
            self.pilot.observers.remove(self.gatherer)
            self.pilot.control_cycle.cycle_observer = None
            self.graphite = self.gatherer = None
            self.pilot.timers.cancel(("figures",))
            return
        self.graphite.reload(new)
        self.gatherer.names.prefix = self._prefix(new)
        if new.every_s != old.every_s:
            self._next_figures(self.clock())

    async def _renew_collectd(self, old) -> None:
        """The signals learnt so far are kept where the listener only moves."""
        was, self.listener = self.listener, None
        if was is not None:
            was.close()
        if not self.operator.collectd.listen:
            self.pilot.timers.cancel(("users",))
            return
        try:
            await self._start_collectd()
        except OSError as why:
            log_events.OPERATOR_CONFIGURATION_REJECTED(why=f"[collectd] listen: {why}")
            return
        if was is not None and was.table.types == self.operator.collectd.types:
            self.listener.host_loads.hosts = was.host_loads.hosts

    def close(self) -> None:
        if self.distribution is not None:
            self.distribution.stop()
        if self.leadership is not None:
            self.leadership.close()
        if self.graphite is not None:
            self.graphite.close()
        if self.listener is not None:
            self.listener.close()
