"""Every decision of ravenshelf, told `policy.events`; times are microseconds."""

import random
from bisect import insort
from collections import Counter, defaultdict
from math import exp, log

from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    HostLoadSampled,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    WatchFailed,
)
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.settings import Settings

READY, GONE = EndpointState.READY, EndpointState.GONE

SECOND = 1_000_000
BEAT, STEP, STAGE_PART = 5 * SECOND // 2, SECOND // 4, 0.2  # the solver's beat; steps of a staging
DEMAND_SPAN = 5 * SECOND // 2  # fades as old, on the mean, as what a window of 5 s holds
TARGET, QUANTUM, ZONES_FINE = 0.05, 0.01, 8  # of misses; of demand; of more zones quanta are coarser
BOUND_TIMES, BOUND_HEARD = 3, 10 * SECOND  # the bound of a miss: times the median of the first while
RAMP, RETURN = 30 * SECOND, 10 * SECOND  # of a new endpoint; within which a zone that was lost returns
BUCKET, CURVE_SPAN, POOLED, STEEP = 0.12, 25 * SECOND, 0.15, 0.6  # of a curve: width; memory; others; rise
MARGIN, GAP_MOVES = 1.2, 1000  # demand may rise so until tables are in force; a gap's least move
HEALTH_SPAN, HEALTH_PRIOR, FADED = 6 * SECOND, 3.0, 0.02
PACE_SPAN, PACE_LEAST, PACE_MOST = 12 * SECOND, 0.1, 2.0
WORTH_LINES, LEVEL_MOVES = 0.08, 0.1  # parts that must have moved for a table or a level to be sent
SHED_MISSES, CALM_MISSES = 0.10, 0.06  # of the tries: the estimate of capacity goes down, or up again
COLD_LOAD, COLD_PART = 1.2, 0.7  # most load of a cold zone against the mean; so cold is cold
SHED_DOWN, SHED_UP = 0.75, 1.1  # what a beat of misses or of calm makes of it
KEPT_IN, TRUST, SHED_LEAST = 0.05, 0.8, 1.1  # of a group; in the first capacity; of what calm carried
UNLIMITED, NEEDED, JOINING, WITHDRAWAL = 1e6, 2, 3, 4  # a level; urgency of tables after a drain or start
PART_ENDPOINTS, PART_PROXIES = 3, 6  # least of a zone's endpoints, and of its proxies, to a table
LUKEWARM, FAILING = 0.5, 0.6  # a colder one has no line where the zone's middle is worse
NOTICED_SPAN, CROWDED, CROWDED_MOST = 20 * SECOND, 0.2, 0.5  # of machines: memory; excess; most loss
SLACK, LENT_LEAST, BLIND = 0.2, 0.02, 0.25  # of a part: over its due, lent; cold while no flow is known


class Decaying:
    """A few sums that fade with time, brought up to date when they are read."""

    def __init__(self, span, size):
        self.span, self.at, self.sums = span, 0, [0.0] * size

    def read(self, now):
        if now > self.at:
            fade = exp((self.at - now) / self.span)
            self.at, self.sums = now, [x * fade for x in self.sums]
        return self.sums

    def add(self, now, *values):
        self.sums = [x + y for x, y in zip(self.read(now), values)]


class Endpoint:
    """What is listed of an endpoint and what was heard of it."""

    def __init__(self, index, start):
        self.index, self.zone, self.kind, self.state = index, 0, 0, None
        self.weight, self.start, self.benched, self.order = 1.0, start, False, None
        self.noticed = Decaying(NOTICED_SPAN, 2)  # readings of its machine, busy share
        self.forget()

    def forget(self):
        self.tries = Decaying(HEALTH_SPAN, 2)  # tries, dropped
        self.misses = Decaying(2 * SECOND, 2)  # tries, missed
        self.busy = Decaying(2 * SECOND, 2)  # reports, load reported for each weight
        self.latency = Decaying(PACE_SPAN, 2)  # delivered, delivered x latency

    def fade(self, now):
        """Share of tries that come to something; never 0, and it returns as the evidence fades."""
        tries, dropped = self.tries.read(now)
        return max(FADED, (tries - dropped + HEALTH_PRIOR) / (tries + HEALTH_PRIOR))


class Proxy:
    def __init__(self, zone, usual, groups):
        self.zone, self.usual, self.flows = zone, usual, Decaying(DEMAND_SPAN, 2 * groups)  # flows, seconds
        self.table = self.part = self.asks = self.read = None  # the last two: demand as last read, and when

    def demand(self, now):
        """Flows a second of each group; None as long as nothing was heard."""
        if self.read != now:
            sums, self.read = self.flows.read(now), now
            longest = max(sums[len(sums) // 2 :], default=0)  # a group without flows goes unreported
            self.asks = [s / longest for s in sums[: len(sums) // 2]] if longest > 0.05 else None
        return self.asks


class Curve:
    """Share of missed tries against a zone's demand per listed weight."""

    def __init__(self):
        self.buckets = {}

    def add(self, now, x, tries, missed):
        self.buckets.setdefault(round(log(x) / BUCKET), Decaying(CURVE_SPAN, 2)).add(now, tries, missed)

    @staticmethod
    def fit(now, own, others):
        """Points (x, share) that rise with x, from a zone's own buckets and, for little, the others'."""
        sums = {}
        for curve, part in [(own, 1.0)] + [(o, POOLED) for o in others]:
            for k, decaying in curve.buckets.items():
                tries, missed = decaying.read(now)
                had = sums.setdefault(k, [0.0, 0.0])
                had[0], had[1] = had[0] + part * tries, had[1] + part * missed
        points = []  # pools adjacent violators: misses don't fall with demand, whatever a long tail says
        for k in sorted(k for k in sums if sums[k][0] >= 1.0):
            points.append((exp(k * BUCKET), *sums[k]))
            while len(points) > 1 and points[-2][2] * points[-1][1] >= points[-1][2] * points[-2][1]:
                (x0, t0, m0), (x1, t1, m1) = points[-2:]
                points[-2:] = [((x0 * t0 + x1 * t1) / (t0 + t1), t0 + t1, m0 + m1)]
        hull = [(0.0, 0.0)]  # convex: a jammed zone's curve goes flat and would have it given up
        for x, tries, missed in points:
            while len(hull) > 1 and (
                (hull[-1][1] - hull[-2][1]) * (x - hull[-1][0])
                > (missed / tries - hull[-1][1]) * (hull[-1][0] - hull[-2][0])
            ):
                hull.pop()
            hull.append((x, missed / tries))
        return hull[1:]


def read_curve(points, x):
    """Misses expected at x; past the last point they go on rising, so that more load is never free."""
    for (x0, y0), (x1, y1) in zip([(0.0, 0.0), *points], points):
        if x <= x1:
            return y0 + (y1 - y0) * (x - x0) / (x1 - x0)
    x0, y0 = points[-1]
    return y0 + STEEP * (x / x0 - 1)


def solve_spill(demand, capacity, curves, stretch):
    """KurmaCost by greedy quanta: the share of each zone's demand that every zone carries.

    demand: flows a second; capacity: live weight; curves: points or None; stretch: of a load by a gap."""
    zones = range(len(demand))
    live = [z for z in zones if capacity[z] > 0]
    load, share = list(demand), [[float(i == j) for j in zones] for i in zones]
    sends, takes, gains = set(), set(), {}
    quantum = 1 / round(1 / QUANTUM / max(1, len(demand) / ZONES_FINE))  # else the work grows too fast

    def missing(i, j, more=0.0):
        x = MARGIN * (load[j] + more) / capacity[j] * stretch[i][j]
        return read_curve(curves[j], x) if curves[j] else 0.0

    def misses(i):
        return sum(share[i][j] * missing(i, j) for j in live if share[i][j])

    def at(j, i, part):
        """Misses a second at j, were i to send so much more of its demand there."""
        return sum(
            demand[k] * (share[k][j] + part * (k == i)) * missing(k, j, part * demand[i])
            for k in zones
            if share[k][j] or k == i
        )

    def move(i, j):
        share[i][i], share[i][j] = share[i][i] - quantum, share[i][j] + quantum
        load[i], load[j] = load[i] - quantum * demand[i], load[j] + quantum * demand[i]
        sends.add(i)
        takes.add(j)

    def moves(sending):
        """Pairs between which a quantum may go: no zone both sends and receives, none without data spills."""
        to = [j for j in live if curves[j] and j not in sends]
        can = [i for i in sending if curves[i] and i not in takes and demand[i] and share[i][i] >= quantum]
        return [(i, j) for i in can for j in to if j != i]

    for i in [z for z in zones if live and capacity[z] <= 0]:  # no live server: sends all, to the lightest
        for _ in range(round(1 / quantum)):
            move(i, min(live, key=lambda j: (load[j] + quantum * demand[i]) / capacity[j] * stretch[i][j]))
        share[i][i] = 0.0
    while True:  # feasible: as little as brings every zone under the target
        best = min(
            (
                (max(missing(i, j, quantum * demand[i]), missing(j, j, quantum * demand[i])), i, j)
                for i, j in moves([z for z in live if misses(z) > TARGET])
            ),
            default=(1.0,),
        )
        if best[0] > TARGET:
            break
        move(*best[1:])
    while any(misses(z) > TARGET for z in zones if demand[z]):  # infeasible: as few misses in all as can be
        pairs = moves(live)
        for i, j in [pair for pair in pairs if pair not in gains]:  # of the others nothing has moved
            gains[i, j] = (at(i, i, 0) - at(i, i, -quantum) + at(j, i, 0) - at(j, i, quantum)) / demand[i]
        best = max(((gains[pair], *pair) for pair in pairs), default=(0.0,))
        if best[0] <= 1e-9:
            break
        move(*best[1:])
        gains = {(i, j): gain for (i, j), gain in gains.items() if i != best[1] and j != best[2]}
    return share


def water_level(demands, budget):
    """The level at which so many flows a second come in over all proxies, each let in up to that level."""
    left, asked = budget, sorted(demands)
    for n, d in enumerate(asked):
        if d * (len(asked) - n) >= left:
            return max(0.0, left / (len(asked) - n))
        left -= d
    return None


def spread(needs, strengths):
    """Which part of a zone's endpoints carries each table's flows: its own, then what others have to spare.

    The more a part lacks, the more of its table lies elsewhere. Rows sum to 1."""
    spare = [(1 + SLACK) * s / sum(strengths) for s in strengths]
    needs, rows = [d / (sum(needs) or 1) for d in needs], []
    for own, need in enumerate(needs):
        rows.append([min(need, spare[own]) if own == b else 0.0 for b in range(len(spare))])
        spare[own] -= rows[own][own]
    for row, need in zip(rows, needs):
        while need - sum(row) > LENT_LEAST * need:  # for less no line of another part is worth its room
            b = max(range(len(spare)), key=spare.__getitem__)
            more = min(need - sum(row), max(spare[b], 1e-6))
            row[b], spare[b] = row[b] + more, spare[b] - more
    even = [s / sum(strengths) for s in strengths]
    return [[x / sum(row) for x in row] if need else even for row, need in zip(rows, needs)]


def median(values, default=None):
    return sorted(values)[len(values) // 2] if values else default


class Controller:
    def __init__(self, settings: Settings, seed, channel=None):
        self.settings, self.groups = settings, settings.traffic_groups
        self.service, self.rules = settings.service, settings.warm_up
        self.spare = max(1.0, self.rules.overload_multiple / 2)  # over its plan: half of what fells
        self.frail = max(1.0, 3 / max(0.1, self.rules.overload_multiple - 1))  # cold ones fall
        self.zones, self.chance = max(1, len(settings.zones)), random.Random(seed)
        self.channel = channel or ChannelFlowControl(
            self.service
        )  # one that another module has filled goes on
        self.endpoints, self.proxies, self.lines, self.levels, self.logged = {}, {}, {}, {}, (False, [])
        self.written_at, self.users = {}, defaultdict(dict)  # by table, None: proxies not bound yet
        self.curves = [Curve() for _ in range(self.zones)]
        self.parts, self.current = [0] * self.zones, {}  # (zone, part): the table that proxies are led to
        self.share = [[float(i == j) for j in range(self.zones)] for i in range(self.zones)]
        self.least, self.loads, self.held = {}, {}, {}  # latencies by (from, to); demand per weight; urgency
        self.gap = [[0] * self.zones for _ in range(self.zones)]
        self.first, self.bound, self.medians, self.work, self.alike = 0, None, [], None, 1.0
        self.ask_again = int(settings.discovery == "on_request")
        self.met = Decaying(2 * SECOND, 2)  # delivered, delivered x latency
        self.trust = UNLIMITED if settings.weight_kind == "none" else TRUST  # in weight over it
        self.budget = min([g.latency_objective_us or 10 * SECOND for g in self.groups], default=SECOND)
        self.in_hand = [*settings.telemetry.columns, "active"].index("active")
        self.handlers = {  # other events decide nothing
            EndpointsListed: self.listed,
            WatchFailed: self.list_failed,
            ProxyJoined: self.joined,
            ProxyLeft: self.left,
            LoadReport: self.heard,
            DemandReport: self.asked,
            HostLoadSampled: self.noticed,
            BatchAcknowledged: self.applied,
        }
        self.now = self.next_beat = self.next_step = self.changed = self.carried = self.calm = self.vain = 0

    # --- the news ---
    def listed(self, event):
        how, entries = event.kind, event.entries
        seen = {entry.endpoint for entry in entries}
        for entry in entries:
            index, start, state = entry.endpoint, entry.started_at, entry.state
            e = self.endpoints.get(index) or self.endpoints.setdefault(index, Endpoint(index, start))
            if start > e.start:  # another process: what was heard of the old one says nothing
                e.start, self.changed = start, NEEDED
                e.forget()
            if e.order is None:  # a successor takes the place of one that has gone
                taken = {
                    o.order for o in self.endpoints.values() if o.zone == entry.zone and o.state is not GONE
                }
                e.order = next(n for n in range(len(taken) + 1) if n not in taken)
            e.zone, e.kind = min(entry.zone, self.zones - 1), entry.machine_kind
            e.weight = max(entry.weight, 1e-3)
            if e.state != state:
                e.state, self.changed = state, max(self.changed, 1 if state is READY else NEEDED)
        whole = how is not ListKind.UPDATE  # then what it does not name is gone
        for e in [
            e for e in self.endpoints.values() if whole and e.index not in seen and e.state is not GONE
        ]:
            e.state, self.changed = GONE, NEEDED
        self.ask_again, self.vain = self.ask_again if how is ListKind.RESTORED else 0, 0

    def list_failed(self, _):  # a broken subscription is silent: ask again, not all pilots at one time
        self.vain, soon = min(self.vain + 1, 3), (self.ask_again or self.now) + SECOND  # 6 s after its call
        self.ask_again = min(soon, self.now + round(SECOND * 2**self.vain * self.chance.uniform(0.25, 0.5)))

    def joined(self, event):
        proxy = event.proxy
        self._forget_proxy(proxy, True)
        self.proxies[proxy] = Proxy(min(event.zone, self.zones - 1), event.usual_rate, len(self.groups))
        self.users[None][proxy] = None
        self.channel.proxy_joined(proxy)

    def left(self, event):
        self._forget_proxy(event.proxy, event.ended_here)

    def _forget_proxy(self, proxy, ended):
        if proxy in self.proxies:
            del self.users[self.proxies.pop(proxy).table][proxy]
        self.channel.proxy_left(proxy, ended)

    def heard(self, event):
        e, now = self.endpoints.get(event.endpoint), self.now
        tries, latency = event.attempts, event.mean_latency
        if e is None or tries <= 0:
            return
        zone = min(event.zone, self.zones - 1)
        delivered = tries - (dropped := min(max(event.failed, 0), tries))
        e.tries.add(now, tries, dropped)
        if len(event.load) > self.in_hand:
            e.busy.add(now, 1.0, event.load[self.in_hand] / e.weight)
        if delivered and latency > 0:
            e.latency.add(now, delivered, delivered * latency)
            self.least.setdefault((zone, e.zone), []).append((now, latency))
            if not self.first:  # the first beat comes as soon as zones can be told apart
                self.first, self.next_beat = now, now + SECOND // 4
            if now - self.first <= BOUND_HEARD:
                insort(self.medians, latency)  # sorted anew for each report, a second's took seconds
                self.bound = min(BOUND_TIMES * self.medians[len(self.medians) // 2], self.budget)
        e.misses.add(now, tries, dropped + delivered * min(1.0, latency / self.budget) ** 3)
        self.met.add(now, delivered, delivered * latency)
        if zone == e.zone and zone in self.loads:
            # near the bound part of a mean's tries miss; what fails by itself says little of the load
            soft = dropped + (delivered * min(1.0, latency / self.bound) ** 4 if self.bound else 0)
            self.curves[zone].add(now, self.loads[zone], e.fade(now) * tries, e.fade(now) * soft)

    def asked(self, event):
        group = event.group
        if (p := self.proxies.get(event.proxy)) is not None and group < len(self.groups):
            more = [0.0] * (2 * len(self.groups))
            more[group], more[len(self.groups) + group] = max(event.requests, 0), event.window / SECOND
            p.read = None
            p.flows.add(self.now, *more)

    def noticed(self, event):
        """How busy an endpoint's machine was, as told beside its sums; the older, the less it counts."""
        if (e := self.endpoints.get(event.endpoint)) is not None and 0 <= event.busy <= 1:
            part = exp(-max(0, event.age) / NOTICED_SPAN)
            e.noticed.sums = [x * (1 - 0.7 * part) for x in e.noticed.read(self.now)]  # the newest counts
            e.noticed.add(self.now, part, part * event.busy)

    def applied(self, event):
        self.channel.acknowledged(event.proxy, event.marker, event.elapsed)

    # --- estimates ---
    def ramp(self, e):
        """A new endpoint comes in over the ramp, from the share promised, or less where little fells it."""
        if e.start <= 0:
            return 1.0
        cold = self.rules.cold_capacity_share / self.frail * (1.0 if self.work else BLIND)
        span = min(RAMP, self.rules.warm_after_us or RAMP)  # by then it is promised to be warm
        return min(1.0, cold + (1 - cold) * max(0, self.now - e.start) / span)

    def crowding(self, z):
        """Endpoint -> what a machine busier than its zone's middle leaves of its weight; half at least."""
        sums = [(e, *e.noticed.read(self.now)) for e in self.usable() if e.zone == z]
        told = {e: (n, b / n) for e, n, b in sums if n > 0.05}
        usual = median([b for _, b in told.values()])
        return (
            {
                e: 1 - CROWDED_MOST * min(1.0, n) * min(1.0, max(0.0, b - usual - CROWDED) / CROWDED)
                for e, (n, b) in told.items()
            }
            if len(told) > 2
            else {}
        )

    def open(self, e):
        """Whether tables may hold it; where removal does not bind, only draining shuts an endpoint out."""
        kept = e.state is GONE and not e.benched and self.rules.removal_is_not_binding
        return e.state is READY or kept

    def usable(self):
        return [e for e in self.endpoints.values() if self.open(e)]

    def strengths(self):
        """For each zone: endpoint -> weight by list, ramp, fading failures and measured pace."""
        out, known = [{} for _ in range(self.zones)], {}
        mean = {e: t / n for e in self.endpoints.values() for n, t in [e.latency.read(self.now)] if n > 2}
        usual = [median([v for e, v in mean.items() if e.zone == z]) for z in range(self.zones)]
        kin = {k: median([v for e, v in mean.items() if e.kind == k]) for k in {e.kind for e in mean}}
        for e in self.usable():
            took, middle = mean.get(e) or kin.get(e.kind), usual[e.zone]
            pace = middle / took if took and middle else 1.0
            known[e] = e.fade(self.now) * min(PACE_MOST, max(PACE_LEAST, pace))
        known.update((e, known[e] * part) for z in range(self.zones) for e, part in self.crowding(z).items())
        warm = [[v for e, v in known.items() if e.zone == z and self.ramp(e) == 1] for z in range(self.zones)]
        flows = [max(p.usual, sum(p.demand(self.now) or ())) for p in self.proxies.values()]
        heavy, shuns = sum(f * f for f in flows) / (sum(flows) or 1), self.service.outlier_after_failures
        for e, v in known.items():  # one of which little was heard is not the best of a failing zone
            ramp, most, z = self.ramp(e), median(warm[e.zone], v), e.zone  # if all shun the rest, it falls
            soon = len(warm[z]) >= PART_ENDPOINTS and heavy * max(1, self.parts[z]) > shuns * len(warm[z])
            spared = shuns and warm[z] and ((ramp < 1 and soon) or (ramp <= LUKEWARM and most <= FAILING))
            if not spared:  # else all cold
                if ramp < 1:  # of what started before it heard anything a pilot knows no capacity
                    v = min(v, most) / (self.frail if e.start < (self.first or self.now) else 1.0)
                out[e.zone][e.index] = e.weight * ramp * v
        return out

    def demands(self):
        """Flows a second by zone: of the own proxies, and estimated for those that join other pilots too."""
        own, count = [0.0] * self.zones, Counter(p.zone for p in self.proxies.values())
        for p in self.proxies.values():
            own[p.zone] += sum(p.demand(self.now) or [p.usual])
        total, heard = self.service.proxy_count, max(1, len(self.proxies))
        zoned = (
            self.service.proxies_join_by_zone
        )  # then whole zones are unheard, and only what is usual counts:
        lack = [max(0.0, total / self.zones - count[z]) if zoned else 1.0 for z in range(self.zones)]
        each = sum(p.usual for p in self.proxies.values()) if zoned else sum(own)
        scale = max(0, total - len(self.proxies)) * each / heard / max(sum(lack), 1e-9)
        return own, [o + scale * k for o, k in zip(own, lack)]

    def gaps(self):
        """Cross-zone gap in one-second minimum latency; small moves don't touch the curves."""
        self.least = {k: [x for x in heard if x[0] >= self.now - SECOND] for k, heard in self.least.items()}
        least = {k: min(v for _, v in heard) for k, heard in self.least.items() if heard}
        for (i, j), v in least.items():
            if (j, j) in least and abs(max(0, v - least[j, j]) - self.gap[i][j]) > GAP_MOVES:
                self.gap[i][j] = max(0, v - least[j, j])

    # --- tables ---
    def target(self, proxy):
        return self.current.get((proxy.zone, proxy.part))

    def deal(self):
        needs = self.needs()  # new proxies go to that table of their zone which has least to carry
        for p in sorted((p for p in self.proxies.values() if p.part is None), key=lambda p: -p.usual):
            p.part = min(range(len(needs[p.zone])), key=needs[p.zone].__getitem__)
            needs[p.zone][p.part] += p.usual

    def needs(self):
        """Flows a second by zone and table; those to come count evenly: else the first had all on one."""
        pilots = 1 if self.service.proxies_join_by_zone else max(1, self.settings.server_count)
        proxies = max(self.service.proxy_count / pilots, len(self.proxies)) / self.zones
        for z in range(self.zones):
            here = sum(e.zone == z for e in self.usable())
            most = int(min(here // PART_ENDPOINTS, proxies // PART_PROXIES))
            self.parts[z] = self.parts[z] or (max(1, most) if here else 0)
        here = Counter(p.zone for p in self.proxies.values())
        usual = sum(p.usual for p in self.proxies.values()) / max(1, len(self.proxies))
        needs = [[max(0, proxies - here[z]) * usual / (n or 1)] * (n or 1) for z, n in enumerate(self.parts)]
        for p in self.proxies.values():
            if p.part is not None:
                needs[p.zone][p.part] += sum(p.demand(self.now) or [p.usual])
        return needs

    def wanted(self, zone, strengths, needs):
        """The lines of a zone's tables: local endpoints carry the kept part, receivers the spilled."""
        tables = [{} for _ in needs]
        for j in range(self.zones):
            bins = [{} for _ in needs]
            for index, s in strengths[j].items():
                bins[self.endpoints[index].order % len(needs)][index] = s
            sums = [sum(b.values()) for b in bins]
            rows = spread(needs, sums) if self.share[zone][j] > 0 and any(sums) else ()
            for table, row in zip(tables, rows):
                for part, held, total in zip(row, bins, sums):
                    for index, s in held.items() if part else ():
                        table[index] = max(0.01, round(1000 * self.share[zone][j] * part * s / total, 2))
        return tables

    def write(self, table, lines, orders, urgent):
        """Turns a table into `lines`, charging every proxy on it; an empty table is never written."""
        had, users = self.lines.setdefault(table, {}), self.users[table]
        part = 0.15 if users else 0.0
        changes = [(k, w) for k, w in lines.items() if abs(had.get(k, 0) - w) > part * max(had.get(k, 0), w)]
        changes += [(k, 0.0) for k in had if k not in lines]  # comes last: the table always has a line
        if users and not self.channel.fits(len(changes), users, urgent):
            self.held[table] = max(self.held.get(table, 0), urgent)
            kept = {k: w for k, w in had.items() if self.open(self.endpoints[k])}
            pressed = self.pressed(kept, lines)
            if len(pressed) < len(kept):  # the table waits, without what would be sent too much
                changes = [(k, 0.0) for k in pressed]
            if not changes or not self.channel.fits(len(changes), users, WITHDRAWAL):
                return
        for k, w in changes:
            orders.set_weight(table, k, w)
            had[k] = w
        self.lines[table], self.written_at[table] = {k: w for k, w in had.items() if w}, self.now
        self.channel.charge(users if changes else (), len(changes))

    def pressed(self, kept, lines):
        """Cold lines far over their plan once what left the list, or the largest line, falls to others."""
        held, planned = sum(kept.values()), sum(lines.values())
        over = self.spare * min(held, 2 * (held - max(kept.values(), default=0.0))) / planned
        ramps = {k: self.ramp(self.endpoints[k]) for k in kept}
        return {
            k
            for k, w in kept.items()
            if ramps[k] < 1 and w > over * max(lines.get(k, 0.0), planned / len(lines) * ramps[k])
        }

    def bind(self, index, table, orders, urgent):
        lines = self.lines.get(table)
        cost = 1 + len(self.levels.get(table, ())) + sum(1 + self.endpoints[k].benched for k in lines or ())
        if not lines or not self.channel.fits(cost, [index], urgent):
            return False
        orders.bind_proxy(index, table)
        self.channel.charge([index], cost)
        del self.users[self.proxies[index].table][index]
        self.users[table][index], self.proxies[index].table = None, table
        return True

    # --- the list ---
    def follow_list(self, changed, orders):
        """What left is shut out at once by all who hold it; what returns comes in once no old table waits."""
        late = set().union(*(self.lines.get(t, ()) for t in self.held))
        for e in [e for e in changed if not e.benched or e.index not in late]:
            holding = [
                i
                for t, had in {None: (e.index,), **self.lines}.items()
                if e.index in had
                for i in self.users[t]
            ]
            if self.channel.fits(1, holding, 1 if e.benched else WITHDRAWAL):
                e.benched = not e.benched
                orders.set_ejected(e.index, e.benched)
                self.channel.charge(holding, 1)

    def plan(self, orders, urgent, only=()):
        """One beat of the design: curves, spill, tables. Urgent: those in use, or only some, in place."""
        for zone in {p.zone for p in self.proxies.values()}:  # returns: not all of it is listed yet
            here = [e for e in self.usable() if e.zone == zone]
            latest = max([e.start for e in here], default=0)
            old = [e for e in here if e.start < self.now - RETURN]
            lone = latest > self.now - RETURN and not any(e.latency.read(self.now)[0] > 0.5 for e in old)
            lone = lone and (self.met.read(self.now)[0] > 20 or 2 * len(old) <= len(here))  # none heard
            for e in old if lone else ():
                e.start = latest
        strengths, (own, demand) = self.strengths(), self.demands()
        capacity, listed, usable = [0.0] * self.zones, [0.0] * self.zones, self.usable()
        for e in usable:
            capacity[e.zone] += e.weight * self.ramp(e) * e.fade(self.now)
            listed[e.zone] += e.weight
        part = self.let_in(sum(sum(s.values()) for s in strengths), sum(demand), not urgent)
        demand = [d * part for d in demand]
        # against a zone that is back cold and has no curve, as after a restart: it keeps about the mean load
        cold = any(0 < c < COLD_PART * w for c, w in zip(capacity, listed))
        mean = [(COLD_LOAD * sum(demand) / sum(capacity), 0.0)] if cold and sum(demand) else None
        fits = [Curve.fit(self.now, c, [o for o in self.curves if o is not c]) or mean for c in self.curves]
        self.gaps()
        stretch = [[1 / max(0.2, 1 - gap / (self.bound or 1e9)) for gap in row] for row in self.gap]
        self.share = solve_spill(demand, capacity, fits, stretch)
        loads = [sum(d * row[j] for d, row in zip(demand, self.share)) for j in range(self.zones)]
        self.loads = {j: load / capacity[j] for j, load in enumerate(loads) if capacity[j] > 0 and load > 0}
        levels = self.plan_levels(part * sum(own))
        state = bool(levels), [z for z in range(self.zones) if demand[z] and self.share[z][z] < 0.9]
        if state != self.logged and not urgent:  # at most once a beat
            self.logged = state
            orders.log(f"refusing {100 - 100 * part:.0f}% of flows; zones spilling over 10%: {state[1]}")
        for table in () if only else list(self.lines):
            self.write_levels(table, levels, orders)
        needs = self.needs()
        planned = [
            ((zone, n), lines)
            for zone in sorted({p.zone for p in self.proxies.values()})
            for n, lines in enumerate(self.wanted(zone, strengths, needs[zone]))
            if lines
        ]
        # first what was written longest ago: there may be room for a few only, again and again
        for place, lines in sorted(planned, key=lambda p: self.written_at.get(self.current.get(p[0]), 0)):
            self.renew(place, lines, levels, orders, urgent, only)

    def renew(self, place, lines, levels, orders, urgent, only):
        table = self.current.setdefault(place, 2 * (place[0] + self.zones * place[1]))
        had, old = self.lines.get(table), self.users[table ^ 1]
        if urgent or not had:
            for t in [t for t in ((table, table ^ 1) if old else (table,)) if not only or t in only]:
                self.write(t, lines, orders, urgent or 1)
        elif not old:  # else the last staging is not over: two splits would clash
            moved = sum(abs(lines.get(k, 0) - had.get(k, 0)) for k in set(lines) | set(had)) / 2000
            if moved >= WORTH_LINES:
                orders.clear_table(table ^ 1)
                self.lines[table ^ 1], self.levels[table ^ 1] = {}, {}
                self.write_levels(table ^ 1, levels, orders)
                self.write(table ^ 1, lines, orders, False)
                self.current[place] = table ^ 1

    def let_in(self, strength, demand, learn):
        """Part of the demand that endpoints can do: weight over a flow's time, corrected by misses."""
        delivered, took = self.met.read(self.now)
        if delivered > 20:
            self.work = min(self.work or 1e9, took / delivered / SECOND, self.budget / 3 / SECOND)
        if not self.work or not demand or not strength:
            return 1.0
        needed = demand * self.work / strength * self.alike
        if not learn:
            return min(1.0, self.trust / needed)
        sums = [(*e.misses.read(self.now), *e.busy.read(self.now)) for e in self.usable()]
        missed = median([m / t for t, m, _, _ in sums if t > 1], CALM_MISSES)  # a hang is no overload
        busy = median([load / n for _, _, n, load in sums if n > 0.2])
        if calm := missed < CALM_MISSES:
            self.carried = max(self.carried * 0.995, min(needed, self.trust))
            self.calm = max(self.calm * 0.99, busy or 0.0)
        idle = busy is not None and busy <= 1.3 * self.calm + 0.1  # and failing, for want of connections
        self.alike = median([e.fade(self.now) for e in self.usable()], 1.0) ** 0.5 if idle else 1.0
        if (calm or (busy is not None and busy <= self.calm)) and needed > 0.9 * self.trust:
            self.trust *= SHED_UP
        elif missed > SHED_MISSES and not idle:
            self.carried = self.carried or min(self.trust, needed) / 2  # jammed from the first
            least = min(1.0, SHED_LEAST - missed / 2) * self.carried  # few misses may be a hang
            self.trust = max(least, SHED_DOWN * min(self.trust, needed))
        return min(1.0, self.trust / needed)

    def plan_levels(self, allowed):
        """Levels by utility: the group worth least is let in last."""
        kind, levels, left = self.service.admission_level_kind, {}, allowed
        asked = [
            [(p.demand(self.now) or [0.0] * len(self.groups))[g] for p in self.proxies.values()]
            for g in range(len(self.groups))
        ]
        if kind not in ("per_second", "fraction") or allowed >= 0.99 * sum(map(sum, asked)):
            return {}
        for g in sorted(range(len(self.groups)), key=lambda g: -self.groups[g].priority_weight):
            total, part = sum(asked[g]), max(left, KEPT_IN * min(allowed, sum(asked[g])))
            left -= total
            if part < 0.999 * total:
                level = water_level(asked[g], part) if kind == "per_second" else part / total
                levels[g] = round(max(0.02, level), 2)
        return levels

    def write_levels(self, table, levels, orders):
        had, users = self.levels.setdefault(table, {}), self.users[table]
        for g in range(len(self.groups)):
            old, new = had.get(g, UNLIMITED), levels.get(g, UNLIMITED)
            if abs(old - new) > LEVEL_MOVES * min(old, new):
                if users and not self.channel.fits(1, users, True):
                    return
                orders.set_admission_level(table, 1 << g, new, 1)
                self.channel.charge(users, 1)
                had[g] = new

    def stage(self, orders):
        """A fifth of each zone's proxies goes over to the zone's new table."""
        for zone in range(self.zones) if any(self.users[t ^ 1] for t in self.current.values()) else ():
            here = [i for i, p in self.proxies.items() if p.zone == zone]
            late = [i for i in here if self.proxies[i].table not in (None, self.target(self.proxies[i]))]
            left = max(1, round(len(here) * STAGE_PART))
            for i in self.chance.sample(late, len(late)):
                left -= left > 0 and self.bind(i, self.target(self.proxies[i]), orders, False)

    def round(self, now, news, orders):
        self.now = now
        self.channel.advance(now)
        for event in news:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.next_beat = self.next_beat or now + BEAT
        if self.ask_again and now >= self.ask_again:
            orders.watch_endpoints(True)
            self.ask_again = now + 5 * SECOND
        new = list(self.users[None])
        if any(self.proxies[i].part is None for i in new):
            self.deal()
        if self.changed or any(self.target(self.proxies[i]) is None for i in new):
            urgent, self.changed, self.held = self.changed or 1, 0, {}
            self.plan(orders, urgent)
        changed = [e for e in self.endpoints.values() if self.open(e) == e.benched]
        for i in new:  # a table costs less than to shut out all that has left one by one
            self.bind(i, self.target(self.proxies[i]), orders, WITHDRAWAL if changed else JOINING)
        self.follow_list(changed, orders)
        if now >= self.next_beat:
            self.next_beat = now + BEAT
            self.plan(orders, False)
        if now >= self.next_step:
            self.next_step, held, self.held = now + STEP, self.held, {}
            if held:  # these alone: weights that drift while a queue drains would keep it full
                self.plan(orders, max(held.values()), held)
            self.stage(orders)
            orders.start_timer(self.next_step, "step")
        self.channel.commit_cycle(now, orders)
