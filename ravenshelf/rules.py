"""Every decision of ravenshelf: which proxy holds which lines, what it lets in and when it tries again.

Called as `Controller(provisioning, seed)`, then once a batch as `Controller.round(now, news, orders)`: `news`
is a list of (call name, values), decisions go into `orders`; both are described in `interface.py`.
In this order: measures, the list, channel, curves, `solve_spill`, the controller. Times are microseconds.
"""
import random
from collections import deque
from math import exp, log

SECOND = 1_000_000
BEAT, STEP = 5 * SECOND // 2, SECOND // 4   # the solver's beat; the pace at which a zone is staged
STAGE_PART = 0.1                            # of a zone's proxies at each step
DEMAND_SPAN = 5 * SECOND // 2               # fades as old, on the mean, as what a window of 5 s holds
RAMP = 30 * SECOND
TARGET, QUANTUM = 0.05, 0.01
BOUND_TIMES, BOUND_HEARD = 3, 10 * SECOND   # the bound of a miss: times the median of the first while
GAP_MOVES = 1000                            # a gap shifts a curve once it has moved by more than this
BUCKET = 0.12                               # width of a curve's bucket, in the logarithm of demand per weight
CURVE_SPAN = 25 * SECOND                    # how long a curve remembers
POOLED = 0.15                               # part that the other zones' points have in a zone's curve
STEEP = 0.6                                 # rise of misses beyond what was seen, per doubling of the demand
MARGIN = 1.2                                # demand may rise by so much before the next tables are in force
HEALTH_SPAN, HEALTH_PRIOR, FADED = 6 * SECOND, 3.0, 0.02
PACE_SPAN, PACE_LEAST, PACE_MOST = 12 * SECOND, 0.1, 2.0
WORTH_LINES = 0.08                          # a table is staged when so much of its weight goes elsewhere
LEVEL_MOVES = 0.1                           # a level is written again once it has moved by this part
SHED_MISSES, CALM_MISSES = 0.10, 0.06       # of the tries: the estimate of capacity goes down, or up again
SHED_LEAST, TRUST = 0.9, 0.8                # least of what was carried in calm; trust in the first estimate
SHED_DOWN, SHED_UP = 0.85, 1.07             # what a beat of misses or of calm makes of it
KEPT_IN = 0.05                              # part of a group that is let in all the same, to be heard
UNLIMITED = 1e6
WITHDRAWAL = 2                              # urgency of orders, after the ordinary and the urgent
UNSEEN_UP, UNSEEN_DOWN, UNSEEN_MOST = 1.25, 0.93, 4.0       # how the guess at unheard demand moves
COLD_LOAD, COLD_PART = 1.2, 0.7             # most load of a cold zone against the mean; so cold is cold


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
        self.index, self.zone, self.kind, self.state = index, 0, 0, "unknown"
        self.weight, self.start, self.benched = 1.0, start, False
        self.forget()

    def forget(self):
        self.tries = Decaying(HEALTH_SPAN, 2)       # tries, dropped
        self.misses = Decaying(2 * SECOND, 2)       # tries, missed
        self.busy = Decaying(2 * SECOND, 2)         # reports, load reported for each weight
        self.latency = Decaying(PACE_SPAN, 2)       # delivered, delivered x latency

    def fade(self, now):
        """Share of tries that come to something; never 0, and it returns as the evidence fades."""
        tries, dropped = self.tries.read(now)
        good = (tries - dropped + HEALTH_PRIOR) / (tries + HEALTH_PRIOR)
        return max(FADED, good)


class Proxy:
    def __init__(self, zone, usual, groups):
        self.zone, self.usual, self.table = zone, usual, None
        self.flows = [Decaying(DEMAND_SPAN, 2) for _ in range(groups)]   # flows, seconds counted

    def demand(self, now):
        """Flows a second of each group; None as long as nothing was heard."""
        sums = [d.read(now) for d in self.flows]
        if sum(s[1] for s in sums) < 0.1:
            return None
        longest = max(s[1] for s in sums)   # a group without flows goes unreported all that time
        return [s[0] / longest for s in sums]


class Channel:
    """Counts lines, heads and messages before they are ordered: a full queue breaks a rule."""

    def __init__(self, service):
        self.pace = self.usual = max(1.0, service.get("lines_per_s") or 1e9)
        self.head, self.most = service.get("envelope", 6.0), service.get("most_waiting") or 1e9
        self.messages = service.get("messages_most", 0)
        self.over = service.get("counted_over_us", 10 * SECOND)
        self.late_most = service.get("late_most_us", SECOND)
        self.waiting, self.at, self.sent, self.round, self.marks, self.number = 0.0, 0, {}, {}, {}, 0

    def drain(self, now):
        self.waiting = max(0.0, self.waiting - self.pace * (now - self.at) / SECOND)
        self.at = now

    def room(self, lines, proxies, urgent):
        """Whether so many lines to each of these proxies fit; the ordinary leaves half to the urgent."""
        asked = sum(v + self.head + 1 for v in self.round.values()) + len(proxies) * (lines + self.head + 1)
        if self.waiting + asked > self.most * (0.45, 0.9, 1.0)[urgent]:
            return False
        few = round(self.messages * (0.6, 0.75, 1.0)[urgent]) or 1e9     # the last ones are for withdrawals
        return all(p in self.round or self.count(p) < few for p in proxies)

    def count(self, proxy):
        sent = self.sent.setdefault(proxy, deque())
        while sent and sent[0] <= self.at - 1.05 * self.over:    # written after it is ordered
            sent.popleft()
        return len(sent)

    def charge(self, proxies, lines):
        for p in proxies:
            self.round[p] = self.round.get(p, 0) + lines

    def settle(self, now, orders):
        if not self.round:
            return
        self.number = self.number % 250 + 1
        orders.mark(self.number)
        for p, lines in self.round.items():
            self.sent.setdefault(p, deque()).append(now)
            self.waiting += lines + self.head + 1
        self.marks[self.number] = self.waiting
        self.round = {}

    def applied(self, mark, took):
        """The true pace shows in how long a message took against what lay before it."""
        before, spare = self.marks.get(mark, 0.0), took - self.late_most
        if before and spare > 0 and before / spare * SECOND < self.pace:
            self.pace = max(0.05 * self.usual, before / spare * SECOND)
        elif before and took < self.late_most + before / self.usual * SECOND:
            self.pace += (self.usual - self.pace) * 0.1


class Curve:
    """Share of missed tries against a zone's demand per listed weight."""

    def __init__(self):
        self.buckets = {}

    def add(self, now, x, tries, missed):
        if x > 0:
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
        points = []     # pools adjacent violators: misses don't fall with demand, whatever a long tail says
        for k in sorted(k for k in sums if sums[k][0] >= 1.0):
            points.append((exp(k * BUCKET), *sums[k]))
            while len(points) > 1 and points[-2][2] * points[-1][1] >= points[-1][2] * points[-2][1]:
                (x0, t0, m0), (x1, t1, m1) = points[-2:]
                points[-2:] = [((x0 * t0 + x1 * t1) / (t0 + t1), t0 + t1, m0 + m1)]
        hull = [(0.0, 0.0)]     # convex: a jammed zone's curve goes flat and would have it given up
        for x, tries, missed in points:
            while len(hull) > 1 and ((hull[-1][1] - hull[-2][1]) * (x - hull[-1][0])
                                     > (missed / tries - hull[-1][1]) * (hull[-1][0] - hull[-2][0])):
                hull.pop()
            hull.append((x, missed / tries))
        return hull[1:]


def read_curve(points, x):
    """Misses expected at x; past the last point they go on rising, so that more load is never free."""
    if x <= points[0][0]:
        return points[0][1] * x / points[0][0]
    for (x0, y0), (x1, y1) in zip(points, points[1:]):
        if x <= x1:
            return y0 + (y1 - y0) * (x - x0) / (x1 - x0)
    x0, y0 = points[-1]
    return y0 + STEEP * (x / x0 - 1)


def solve_spill(demand, capacity, curves, stretch):
    """KurmaCost by greedy quanta: the share of each zone's demand that every zone carries.

    demand: flows a second; capacity: listed weight that is live; curves: points or None; stretch[i][j]: by
    how much the gap from i to j makes j's load count more. Returns rows that sum to 1. Pure."""
    zones = range(len(demand))
    live = [z for z in zones if capacity[z] > 0]
    load, share = list(demand), [[float(i == j) for j in zones] for i in zones]

    def missing(i, j, more=0.0):
        x = MARGIN * (load[j] + more) / capacity[j] * stretch[i][j]
        return read_curve(curves[j], x) if curves[j] else 0.0

    def misses(i):
        return sum(share[i][j] * missing(i, j) for j in live if share[i][j])

    def total():
        return sum(demand[i] * misses(i) for i in zones)

    def move(i, j, part=QUANTUM):
        share[i][i], share[i][j] = share[i][i] - part, share[i][j] + part
        load[i], load[j] = load[i] - part * demand[i], load[j] + part * demand[i]

    def moves(sending):
        """Pairs between which a quantum may go: no zone both sends and receives, none without data spills."""
        takes = [any(share[i][j] > 1e-9 for i in zones if i != j) for j in zones]
        sends = [share[i][i] < 1 - 1e-9 for i in zones]
        return [(i, j) for i in sending if curves[i] and not takes[i] and share[i][i] >= QUANTUM and demand[i]
                for j in live if j != i and curves[j] and not sends[j]]

    for i in zones if live else ():
        if capacity[i] <= 0:    # a zone with no live server sends all, to where it is lightest
            for _ in range(round(1 / QUANTUM)):
                more = QUANTUM * demand[i]
                move(i, min(live, key=lambda j: (load[j] + more) / capacity[j] * stretch[i][j]))
            share[i][i] = 0.0
    while True:                 # feasible: as little as brings every zone under the target
        best = min(((max(missing(i, j, QUANTUM * demand[i]), missing(j, j, QUANTUM * demand[i])), i, j)
                    for i, j in moves([z for z in live if misses(z) > TARGET])), default=(1.0,))
        if best[0] > TARGET:
            break
        move(*best[1:])
    while any(misses(z) > TARGET for z in zones if demand[z]):  # infeasible: as few misses in all as can be
        before, best = total(), (1e-9,)
        for i, j in moves(live):
            move(i, j)
            best = max(best, ((before - total()) / demand[i], i, j))
            move(i, j, -QUANTUM)
        if best[0] <= 1e-9:
            break
        move(*best[1:])
    return share


def water_level(demands, budget):
    """The level at which so many flows a second come in over all proxies, each let in up to that level."""
    left, asked = budget, sorted(demands)
    for n, d in enumerate(asked):
        if d * (len(asked) - n) >= left:
            return max(0.0, left / (len(asked) - n))
        left -= d
    return None


def median(values, default=None):
    values = sorted(values)
    return values[len(values) // 2] if values else default


class Controller:
    def __init__(self, provisioning, seed):
        self.service, self.rules = provisioning.get("service", {}), provisioning.get("rules", {})
        self.groups = provisioning.get("traffic_groups", [])
        self.zones = max(1, len(provisioning.get("zones", [])))
        self.chance = random.Random(seed)
        self.channel = Channel(self.service)
        self.endpoints, self.proxies, self.lines, self.levels = {}, {}, {}, {}
        self.curves = [Curve() for _ in range(self.zones)]
        self.current = [2 * z for z in range(self.zones)]       # the table that a zone's proxies are led to
        self.share = [[float(i == j) for j in range(self.zones)] for i in range(self.zones)]
        self.least = {}                                         # (from, to): latencies of the last second
        self.gap = [[0] * self.zones for _ in range(self.zones)]
        self.first, self.bound, self.medians, self.next_beat = None, None, [], 0    # bound: of a miss
        self.ask_again, self.changed = int(provisioning.get("discovery") == "on_request"), False
        self.met = Decaying(2 * SECOND, 2)                      # delivered, delivered x latency
        sized = provisioning.get("weights", "rough") != "none"
        self.work, self.trust = None, TRUST if sized else UNLIMITED     # least mean latency; misses on it
        self.carried = self.calm = 0.0                          # most carried, and in hand, in calm
        self.budget = min([g.get("latency_budget_us") or 10 * SECOND for g in self.groups], default=SECOND)
        columns = provisioning.get("telemetry", {}).get("columns", [])
        self.in_hand = columns.index("active") if "active" in columns else None
        self.loads, self.unseen = {}, [1.0] * self.zones  # load per weight; others to the guess
        self.now, self.begun, self.jammed, self.logged = 0, False, False, (False, [])

    # --- the news ---

    def listed(self, how, entries):
        seen = set()
        for index, zone, kind, _, state, weight, start in entries:
            e = self.endpoints.get(index)
            if e is None:
                e = self.endpoints[index] = Endpoint(index, start)
            if start > e.start:         # another process: what was heard of the old one says nothing
                e.start, self.changed = start, True
                e.forget()
            seen.add(index)
            e.zone, e.kind, e.weight = min(zone, self.zones - 1), kind, max(weight, 1e-3)
            if e.state != state:
                e.state, self.changed = state, True
        if how != "update":
            for e in self.endpoints.values():
                if e.index not in seen and e.state != "gone":
                    e.state, self.changed = "gone", True
        self.ask_again = self.ask_again if how == "restored" else 0

    def list_failed(self):
        self.ask_again = self.now + SECOND      # a broken subscription is silent: ask again

    def joined(self, proxy, zone, usual, fresh):
        self.proxies[proxy] = Proxy(min(zone, self.zones - 1), usual, len(self.groups))
        self.channel.sent.pop(proxy, None)

    def left(self, proxy):
        self.proxies.pop(proxy, None)

    def heard(self, zone, index, tries, dropped, latency, window, report):
        e, now = self.endpoints.get(index), self.now
        if e is None or tries <= 0:
            return
        zone = min(zone, self.zones - 1)
        dropped = min(max(dropped, 0), tries)
        delivered = tries - dropped
        e.tries.add(now, tries, dropped)
        if self.in_hand is not None and self.in_hand < len(report):
            e.busy.add(now, 1.0, report[self.in_hand] / e.weight)
        if delivered and latency > 0:
            e.latency.add(now, delivered, delivered * latency)
            self.least.setdefault((zone, e.zone), []).append((now, latency))
            if self.first is None:
                self.first = now
            if now - self.first <= BOUND_HEARD:
                self.medians.append(latency)
                self.bound = min(BOUND_TIMES * median(self.medians), self.budget)
        e.misses.add(now, tries, dropped + delivered * min(1.0, latency / self.budget) ** 3)
        self.met.add(now, delivered, delivered * latency)
        if zone == e.zone and zone in self.loads:
            # a report gives a mean: near the bound part of its tries miss; steps would show it too late
            soft = dropped + (delivered * min(1.0, latency / self.bound) ** 4 if self.bound else 0)
            self.curves[zone].add(now, self.loads[zone], tries, soft)

    def asked(self, proxy, group, flows, unanswered, window):
        p = self.proxies.get(proxy)
        if p is not None and group < len(p.flows):
            p.flows[group].add(self.now, max(flows, 0), window / SECOND)

    def applied(self, proxy, mark, took):
        self.channel.applied(mark, took)

    def unused(self, *_):
        """Calls that decide nothing: a timer wakes the round by itself, slices and peers have no part."""

    woken = probed = told = granted = stored = slice_asked = unused

    # --- estimates ---

    def ramp(self, e):
        """A new endpoint comes in over the ramp, from the share of its capacity that the settings promise."""
        if e.start <= 0:
            return 1.0
        cold = self.rules.get("cold_share", 0.2)
        return min(1.0, cold + (1 - cold) * max(0, self.now - e.start) / RAMP)

    def open(self, e):
        """Whether tables may hold it; where removal does not bind, only draining shuts an endpoint out."""
        kept = self.rules.get("removal_not_binding", False) and e.state == "gone" and not e.benched
        return e.state == "ready" or kept

    def usable(self):
        return [e for e in self.endpoints.values() if self.open(e)]

    def strengths(self):
        """For each zone: endpoint -> weight by list, ramp, fading failures and measured pace."""
        out = [{} for _ in range(self.zones)]
        mean = {}
        for e in self.endpoints.values():
            n, total = e.latency.read(self.now)
            if n > 2:
                mean[e.index] = total / n
        for e in self.usable():
            usual = median([v for o, v in mean.items() if self.endpoints[o].zone == e.zone])
            pace = 1.0
            if usual:
                kin = [v for o, v in mean.items() if self.endpoints[o].kind == e.kind]
                took = mean.get(e.index) or median(kin, usual)
                pace = min(PACE_MOST, max(PACE_LEAST, (usual / took) ** 1.0))
            out[e.zone][e.index] = e.weight * self.ramp(e) * e.fade(self.now) * pace
        return out

    def demands(self):
        """Flows a second by zone: of the own proxies, and estimated for those that join other pilots too."""
        own, count, each = [0.0] * self.zones, [0] * self.zones, []
        for p in self.proxies.values():
            asked = p.demand(self.now)
            each.append(p.usual if asked is None else sum(asked))
            own[p.zone] += each[-1]
            count[p.zone] += 1
        unseen = max(0, self.service.get("proxy_count", 0) - len(self.proxies))
        if not unseen or not self.proxies:
            return own, own
        zoned = self.service.get("by_zone")     # then whole zones are unheard, and a few proxies carry most
        expected = self.service["proxy_count"] / self.zones
        lack = [max(0.0, expected - c) if zoned else 1.0 for c in count]
        scale = unseen * (median(each) if zoned else sum(each) / len(each)) / max(sum(lack), 1e-9)
        heard = [(e, *e.busy.read(self.now)) for e in self.endpoints.values()]
        heard = [x for x in heard if x[1] > 0.2]
        if heard and not zoned:     # reports show all flows in hand: rate x latency is this pilot's part
            span = PACE_SPAN * (1 - exp((self.first - self.now - SECOND) / PACE_SPAN))
            held = sum(e.latency.read(self.now)[1] for e, _, _ in heard) / span
            seen = sum(load / n * e.weight for e, n, load in heard)
            scale = min(scale, max(0.0, seen / max(held, 1e-9) - 1) * sum(own) / sum(lack))
        return own, [o + scale * k * u for o, k, u in zip(own, lack, self.unseen)]

    def learn_unseen(self):
        """What others send to a zone shows in what this pilot's own flows meet there."""
        for z in range(self.zones):
            sums = [e.misses.read(self.now) for e in self.usable() if e.zone == z]
            tries, missed = sum(t for t, _ in sums), sum(m for _, m in sums)
            if tries > 3 and not any(p.zone == z for p in self.proxies.values()):
                moved = self.unseen[z] * (UNSEEN_UP if missed > 2 * TARGET * tries else UNSEEN_DOWN)
                self.unseen[z] = min(UNSEEN_MOST, max(1 / UNSEEN_MOST, moved))

    def gaps(self):
        """Cross-zone gap in one-second minimum latency; small moves don't touch the curves."""
        self.least = {k: [x for x in heard if x[0] >= self.now - SECOND] for k, heard in self.least.items()}
        least = {k: min(v for _, v in heard) for k, heard in self.least.items() if heard}
        for (i, j), v in least.items():
            gap = max(0, v - least[j, j]) if (j, j) in least else self.gap[i][j]
            if abs(gap - self.gap[i][j]) > GAP_MOVES:
                self.gap[i][j] = gap

    # --- tables ---

    def users(self, table):
        return [i for i, p in self.proxies.items() if p.table == table]

    def wanted(self, zone, strengths, share):
        """The lines of a zone's table: local endpoints carry the kept part, receivers the spilled."""
        out = {}
        for j in range(self.zones):
            total = sum(strengths[j].values())
            if share[zone][j] > 0 and total > 0:
                for index, s in strengths[j].items():
                    out[index] = max(0.01, round(1000 * share[zone][j] * s / total, 2))
        return out

    def write(self, table, lines, orders, urgent):
        """Turns a table into `lines`, charging every proxy on it; an empty table is never written."""
        had, users = self.lines.setdefault(table, {}), self.users(table)
        new = [(k, w) for k, w in lines.items()
               if k not in had or (abs(had[k] - w) > (0.0 if not users else 0.15 * max(had[k], w)))]
        old = [k for k in had if k not in lines]
        cost = len(new) + len(old)
        if users and not self.channel.room(cost, users, urgent):
            return
        for k, w in new:        # first what comes, then what goes: the table has a line at every moment
            orders.line(table, k, w)
            had[k] = w
        for k in old:
            orders.line(table, k, 0)
            del had[k]
        self.channel.charge(users if cost else (), cost)

    def bind(self, index, table, orders, urgent):
        lines = self.lines.get(table)
        out = sum(e.benched for e in self.endpoints.values())
        cost = 1 + len(lines or ()) + len(self.levels.get(table, ())) + out
        if not lines or not self.channel.room(cost, [index], urgent):
            return False
        orders.bind(index, table)
        self.channel.charge([index], cost)
        self.proxies[index].table = table
        return True

    # --- the list ---

    def follow_list(self, orders):
        """Draining or gone is benched at once for every proxy, bound or not; what returns is let in again."""
        for e in self.endpoints.values():
            out = not self.open(e)
            if out != e.benched and self.channel.room(1, list(self.proxies), WITHDRAWAL if out else True):
                orders.bench(e.index, out)
                e.benched = out
                self.channel.charge(list(self.proxies), 1)

    def plan(self, orders, urgent):
        """One beat of the design: curves, spill, tables. Urgent: the tables in use are changed in place."""
        strengths = self.strengths()
        if not urgent:
            self.learn_unseen()
        own, demand = self.demands()
        capacity = [0.0] * self.zones
        usable = self.usable()
        usual = [median([e.fade(self.now) for e in usable if e.zone == z], 1.0) for z in range(self.zones)]
        for e in usable:
            capacity[e.zone] += e.weight * self.ramp(e) * min(1.0, e.fade(self.now) / usual[e.zone])
        part = self.let_in(sum(sum(s.values()) for s in strengths), sum(demand), not urgent)
        demand = [d * part for d in demand]
        fits = [Curve.fit(self.now, c, [o for o in self.curves if o is not c]) or None for c in self.curves]
        self.gaps()
        stretch = [[1 / max(0.2, 1 - gap / (self.bound or 1e9)) for gap in row] for row in self.gap]
        self.share = solve_spill(demand, capacity, fits, stretch)
        self.spare_cold(demand, capacity)
        loads = [sum(d * row[j] for d, row in zip(demand, self.share)) for j in range(self.zones)]
        self.loads = {j: load / capacity[j] for j, load in enumerate(loads) if capacity[j] > 0 and load > 0}
        levels = self.plan_levels(part * sum(own))
        sends = [z for z in range(self.zones) if demand[z] and self.share[z][z] < 0.9]
        if (bool(levels), sends) != self.logged and not urgent:     # a change of state, at most once a beat
            self.logged = bool(levels), sends
            refused = 100 - 100 * part if levels else 0
            orders.log(f"refusing {refused:.0f}% of flows; zones spilling over 10%: {sends}")
        for table in list(self.lines):
            self.write_levels(table, levels, orders)
        for zone in range(self.zones):
            lines = self.wanted(zone, strengths, self.share)
            if not lines:
                continue
            table = self.current[zone]
            if urgent or not self.lines.get(table):
                self.write(table, lines, orders, True)
                self.write(table ^ 1, lines, orders, True)
                continue
            if self.users(table ^ 1):
                continue        # the last staging is not over: two splits would clash
            had = self.lines[table]
            moved = sum(abs(lines.get(k, 0) - had.get(k, 0)) for k in set(lines) | set(had)) / 2000
            if moved >= WORTH_LINES:
                orders.clear(table ^ 1)
                self.lines[table ^ 1], self.levels[table ^ 1] = {}, {}
                self.write_levels(table ^ 1, levels, orders)
                self.write(table ^ 1, lines, orders, False)
                self.current[zone] = table ^ 1

    def spare_cold(self, demand, capacity):
        """Holds zones that are cold to little more than the mean load: a budget over all pilots' flows.

        Guards against a zone that comes back cold without a curve, as after a restart. Costs spill."""
        full, zones = sum(capacity), range(self.zones)
        for j in zones:
            listed = sum(e.weight for e in self.usable() if e.zone == j)
            load = sum(demand[i] * self.share[i][j] for i in zones)
            most = COLD_LOAD * sum(demand) / full * capacity[j] if full else 0.0
            if not 0 < capacity[j] < COLD_PART * listed or load <= most or capacity[j] == full:
                continue
            for i in zones:
                spared = self.share[i][j] * (1 - most / load)
                self.share[i][j] -= spared
                for k in zones:
                    if k != j:
                        self.share[i][k] += spared * capacity[k] / (full - capacity[j])

    def let_in(self, strength, demand, learn):
        """Part of the demand that endpoints can do: weight over the time a flow takes, corrected by misses.

        Guards against a jam that feeds itself: late work, further tries and clients that ask again."""
        delivered, took = self.met.read(self.now)
        if delivered > 20:
            self.work = min(self.work or 1e9, took / delivered / SECOND, self.budget / 3 / SECOND)
        if not self.work or not demand or not strength:
            return 1.0
        needed = demand * self.work / strength
        if not learn:
            return min(1.0, self.trust / needed)
        sums = [(*e.misses.read(self.now), *e.busy.read(self.now)) for e in self.usable()]
        missed = median([m / t for t, m, _, _ in sums if t > 1])    # of the middle: a hang is no overload
        busy = median([load / n for _, _, n, load in sums if n > 0.2])
        calm = missed is not None and missed < CALM_MISSES
        if calm:
            self.carried = max(self.carried * 0.995, min(needed, self.trust))
            self.calm = max(self.calm * 0.99, busy or 0.0)
        if calm or (busy is not None and busy <= self.calm):
            if needed > 0.9 * self.trust:   # a size in other units than flows shows before the first jam
                self.trust *= 1.3 if not self.jammed and needed > 1.3 * self.trust else SHED_UP
        elif missed is not None and missed > SHED_MISSES and (busy is None or busy > 1.3 * self.calm + 0.1):
            self.jammed, down = True, SHED_DOWN * min(self.trust, needed)
            self.trust = max(SHED_LEAST * self.carried, down)
        return min(1.0, self.trust / needed)

    def plan_levels(self, allowed):
        """Levels by utility: the group worth least is let in last."""
        kind, levels, left = self.service.get("level_kind"), {}, allowed
        asked = [[(p.demand(self.now) or [0.0] * len(self.groups))[g] for p in self.proxies.values()]
                 for g in range(len(self.groups))]
        if kind not in ("per_second", "fraction") or allowed >= 0.99 * sum(map(sum, asked)):
            return {}
        for g in sorted(range(len(self.groups)), key=lambda g: -self.groups[g].get("utility", 1.0)):
            total, part = sum(asked[g]), max(left, KEPT_IN * min(allowed, sum(asked[g])))
            left -= total
            if part < 0.999 * total:
                level = water_level(asked[g], part) if kind == "per_second" else part / total
                levels[g] = round(max(0.02, level), 2)
        return levels

    def write_levels(self, table, levels, orders):
        had, users = self.levels.setdefault(table, {}), self.users(table)
        for g in range(len(self.groups)):
            old, new = had.get(g, UNLIMITED), levels.get(g, UNLIMITED)
            if abs(old - new) > LEVEL_MOVES * min(old, new):
                if users and not self.channel.room(1, users, True):
                    return
                orders.level(table, 1 << g, new, 1)
                self.channel.charge(users, 1)
                had[g] = new

    def stage(self, orders):
        """A tenth of each zone's proxies goes over to the zone's new table."""
        for zone in range(self.zones):
            here = [i for i, p in self.proxies.items() if p.zone == zone]
            late = [i for i in here if self.proxies[i].table not in (None, self.current[zone])]
            left = max(1, round(len(here) * STAGE_PART))
            for i in self.chance.sample(late, len(late)):
                if left and self.bind(i, self.current[zone], orders, False):
                    left -= 1

    def round(self, now, news, orders):
        first = not self.next_beat
        self.now = now
        self.channel.drain(now)
        for name, values in news:
            getattr(self, name)(*values)
        if first:
            self.next_beat, self.next_step = now + BEAT, now + STEP
            orders.wake(self.next_step, "step")
        if self.ask_again and now >= self.ask_again:
            orders.observe(True)
            self.ask_again = now + 5 * SECOND
        self.follow_list(orders)
        if first or self.changed:
            self.plan(orders, True)
            self.changed = False
        for i, p in self.proxies.items():
            if p.table is None:
                self.bind(i, self.current[p.zone], orders, True)
        if self.proxies and not self.loads:     # what is heard before the first beat belongs to this load
            self.plan(orders, True)
        if self.first and not self.begun and now - self.first > SECOND // 4:
            self.begun, self.next_beat = True, now
        if now >= self.next_beat:
            self.next_beat = now + BEAT
            self.plan(orders, False)
        if now >= self.next_step:
            self.next_step = now + STEP
            self.stage(orders)
            orders.wake(self.next_step, "step")
        self.channel.settle(now, orders)
