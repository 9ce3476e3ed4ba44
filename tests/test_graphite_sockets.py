"""Receivers that stall, crawl, reset and refuse, on real sockets of loopback; the clock is the test's."""

import asyncio
import errno
import os
import random

import pytest

from ravenshelf.background.decisions import JobQueue
from ravenshelf.background.scheduler import Background
from ravenshelf.graphite import decisions
from ravenshelf.graphite.decisions import SECOND
from ravenshelf.graphite.service import Graphite, aligned
from ravenshelf.operator_config.tables import Graphite as Table
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.store.file_system import FileSystem
from standins.carbon import Carbon, Close, Reset, Stall, Take, Trickle

START = 1_700_000_000


class Rig:
    """A Graphite service whose time passes only where the test says so."""

    def __init__(self, resolve=None, **table):
        self.now, self.deadlines, self.counters = START * SECOND, DeadlineQueue(), Counters()
        self.background = Background(
            JobQueue(1000, 50_000, 900_000, SECOND),
            lambda: self.now,
            lambda at: self.deadlines.set("background", at),
            lambda: False,
            self.counters,
        )
        self.service = Graphite(
            Table(**table),
            random.Random(5),
            loop=asyncio.get_running_loop(),
            clock=lambda: self.now,
            again=lambda receiver, at: self.deadlines.set(receiver, at),
            background=self.background,
            resolve=resolve,
        )

    def due(self):
        for key in self.deadlines.take_expired(self.now):
            self.background.turn() if key == "background" else self.service.turn(key)

    async def until(self, true, most=20.0):
        """Real time passes for sockets, the clock by a few milliseconds; fails where it never holds."""
        async with asyncio.timeout(most):
            while not true():
                self.due()
                await asyncio.sleep(0.001)
                self.now += 2000

    async def passes(self, seconds, step=1.0, do=lambda: None):
        for _ in range(round(seconds / step)):
            self.now += round(step * SECOND)
            do()
            for _ in range(4):
                self.due()
                await asyncio.sleep(0.001)

    def measure(self, count=50, importance=1, of="a"):
        time = aligned(self.now, self.service.table.every_s)
        self.service.take(time, importance, [(f"p.{of}.{n}", float(n)) for n in range(count)])
        return time

    def state(self, receiver):
        return self.service.outlets[receiver].decisions.state

    def backlog(self, receiver):
        return self.service.outlets[receiver].backlog

    async def ends(self, *carbons):
        self.service.close()
        for carbon in carbons:
            await carbon.stop()


def run(test):
    return asyncio.run(asyncio.wait_for(test, 60))


def sent(carbon, time, count=50, of="a"):
    return all((f"p.{of}.{n}", time) in carbon.points for n in range(count))


@pytest.mark.parametrize("protocol", ["plaintext", "pickle"])
def test_figures_reach_all_receivers_with_their_own_time(protocol):
    async def test():
        carbons = [await Carbon(protocol=protocol).start() for _ in range(2)]
        rig = Rig(receivers=[c.address for c in carbons], protocol=protocol)
        times = []
        for _ in range(3):
            times.append(rig.measure())
            await rig.until(lambda: all(sent(c, times[-1]) for c in carbons))
            await rig.passes(10)
        assert times == [START // 10 * 10 + 10 * n for n in range(3)]
        assert all(len(c.points) == 150 and not c.twice and not c.bad for c in carbons)
        await rig.ends(*carbons)

    run(test())


def test_one_that_accepts_and_stalls_is_found_given_up_and_gets_all_when_it_is_back():
    async def test():
        carbon = await Carbon([Stall(after=300), Take()], buffer=2048).start()
        rig = Rig(receivers=[carbon.address], buffer_points=200_000)
        await rig.until(lambda: rig.state(carbon.address) == decisions.SENDING)
        times, states = [], set()

        def step():
            times.append(rig.measure(4000))
            states.add(rig.state(carbon.address))

        await rig.passes(60, 10, step)
        assert decisions.STALLED in states
        await rig.passes(40)
        await rig.until(lambda: carbon.connections > 1)
        await rig.until(lambda: all(sent(carbon, time, 4000) for time in times))
        assert not carbon.bad
        await rig.ends(carbon)

    run(test())


def test_one_that_reads_an_octet_a_second_is_stalled_all_the_same():
    async def test():
        carbon = await Carbon([Trickle()], buffer=2048).start()
        rig = Rig(receivers=[carbon.address], buffer_points=100_000)
        await rig.until(lambda: rig.state(carbon.address) == decisions.SENDING)
        while rig.state(carbon.address) == decisions.SENDING:
            rig.measure(4000)
            await rig.passes(6)
        assert rig.state(carbon.address) in (decisions.STALLED, decisions.RESTING)
        before = rig.backlog(carbon.address).size
        await rig.passes(300, 5, lambda: rig.measure(4000))
        assert before < rig.backlog(carbon.address).size <= 100_000 and rig.backlog(carbon.address).dropped
        await rig.ends(carbon)

    run(test())


@pytest.mark.parametrize(
    "protocol, way", [("pickle", Reset), ("plaintext", Reset), ("pickle", Close), ("plaintext", Close)]
)
def test_a_connection_that_ends_in_a_frame_costs_no_point_and_cuts_none_in_two(protocol, way):
    async def test():
        carbon = await Carbon([way(after=n) for n in (1, 700, 3000)] + [Take()], protocol).start()
        rig = Rig(receivers=[carbon.address], protocol=protocol)
        times = []
        for _ in range(6):
            times.append(rig.measure(200))
            await rig.passes(30)
        await rig.until(lambda: all(sent(carbon, time, 200) for time in times))
        assert carbon.connections >= 4 and carbon.cut and not carbon.bad
        assert len(carbon.points) == 6 * 200  # some came twice, at the same time and path: one point
        await rig.ends(carbon)

    run(test())


def test_one_that_refuses_for_an_hour_gets_what_is_held_oldest_first_behind_the_present():
    async def test():
        carbon = await Carbon().start()
        await carbon.stop()
        rig = Rig(receivers=[carbon.address], buffer_points=1000, backfill_points_s=50, every_s=60)
        times = []
        await rig.passes(3600, 60, lambda: times.append(rig.measure(50)))
        assert rig.backlog(carbon.address).size == 1000 and rig.backlog(carbon.address).dropped == 2000
        await carbon.start()
        await rig.passes(70)
        await rig.until(lambda: carbon.points)
        assert min(t for _, t in carbon.points) >= times[-20]
        now = rig.measure(50, of="now")
        await rig.until(lambda: sent(carbon, now, of="now"))
        order = list(dict.fromkeys(t for p, t in carbon.points if ".a." in p))
        assert (
            order[1:] == sorted(order[1:]) and order[0] == times[-1]
        )  # the newest held, then from the oldest on
        await rig.passes(60)
        await rig.until(lambda: all(sent(carbon, t) for t in times[-20:]))
        await rig.ends(carbon)

    run(test())


def test_a_name_with_several_addresses_is_tried_through_and_looked_up_anew():
    async def test():
        carbon, asked = await Carbon().start(), []

        async def resolve(host, port):
            asked.append(host)
            return [("127.0.0.2", 1), ("127.0.0.3", 1), ("127.0.0.1", carbon.port)]

        rig = Rig(resolve, receivers=[f"graphite.example:{carbon.port}"])
        time = rig.measure()
        await rig.until(lambda: sent(carbon, time))
        assert asked == ["graphite.example"]

        async def nothing(host, port):
            raise OSError("no such name")

        for outlet in rig.service.outlets.values():
            outlet.resolve = nothing
        await carbon.stop()
        rig.measure()
        await rig.until(lambda: rig.state(f"graphite.example:{carbon.port}") == decisions.RESTING)
        await rig.ends()

    run(test())


def test_a_name_server_that_hangs_is_given_up_by_the_dials_limit():
    async def test():
        async def hangs(host, port):
            await asyncio.Event().wait()

        rig = Rig(hangs, receivers=["graphite.example:2003"])
        await rig.until(lambda: rig.state("graphite.example:2003") == decisions.DIALLING)
        await rig.passes(4)
        assert rig.state("graphite.example:2003") in (decisions.RESTING, decisions.DIALLING)
        assert rig.service.outlets["graphite.example:2003"].decisions.failures
        await rig.ends()

    run(test())


def test_the_share_of_a_lost_receiver_moves_and_comes_back_and_no_point_is_at_two():
    async def test():
        carbons = [await Carbon().start() for _ in range(3)]
        rig = Rig(receivers=[c.address for c in carbons], route="hash")
        times = []

        async def measure(times_more):
            for _ in range(times_more):
                times.append(rig.measure(300))
                await rig.passes(10)

        await measure(3)
        shares = [{p for p, _ in c.points} for c in carbons]
        assert all(len(s) > 60 for s in shares) and not shares[0] & shares[1]
        await carbons[0].stop()
        await measure(6)
        moved = {p for c in carbons[1:] for p, t in c.points if t == times[-1]}
        assert moved == shares[0] | shares[1] | shares[2]
        await carbons[0].start()
        await measure(16)
        for carbon, share in zip(carbons, shares):
            assert {p for p, t in carbon.points if t == times[-1]} == share
        held = [point for c in carbons for point in c.points]
        assert len(held) == len(set(held)) == 300 * len(times)  # none missing, none at two receivers
        await rig.ends(*carbons)

    run(test())


@pytest.mark.parametrize("route", ["all", "hash"])
def test_a_reload_that_moves_the_receiver_while_its_buffer_is_full_hands_on_what_waits(route):
    async def test():
        dead, stays, new = (
            await Carbon([Stall()], buffer=2048).start(),
            await Carbon().start(),
            await Carbon().start(),
        )
        await dead.stop()
        rig = Rig(receivers=[dead.address, stays.address], route=route, buffer_points=1000, every_s=1)
        for _ in range(30 if route == "all" else 4):  # by share, a longer absence would have moved it already
            rig.measure(100 if route == "all" else 700)
            await rig.passes(0.2, 0.2)
            rig.now += 10 * SECOND if route == "all" else 2 * SECOND
        waits = rig.backlog(dead.address).size
        assert waits > 200
        link = rig.service.outlets[stays.address].link
        rig.service.renew(
            Table(receivers=[stays.address, new.address], route=route, buffer_points=1000, every_s=1)
        )
        assert rig.service.outlets[stays.address].link is link  # a receiver that stays is not dialled anew
        await rig.passes(30)
        await rig.until(lambda: not any(rig.backlog(a).waiting[1] for a in (stays.address, new.address)))
        if route == "all":
            await rig.until(lambda: len(new.points) >= waits)
        else:
            await rig.until(lambda: len(new.points) + len(stays.points) >= waits)
            assert not set(new.points) & set(stays.points)
        await rig.ends(stays, new)

    run(test())


# --- the spool ---


class Full(FileSystem):
    full = True

    def write(self, handle, data):
        if self.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(handle, data)


def test_what_a_lost_receiver_could_not_take_outlives_the_process(tmp_path):
    table = {"route": "all", "spool_mb": 1.0, "spool_dir": str(tmp_path), "backfill_points_s": 100_000}

    async def first():
        carbon = await Carbon().start()
        await carbon.stop()
        rig = Rig(receivers=[carbon.address], **table)
        times = []
        for _ in range(10):
            times.append(rig.measure(100))
            await rig.passes(10, 2)
            outlet = rig.service.outlets[carbon.address]
            await rig.until(lambda: not outlet.spool_busy)
        rig.service.thread.submit(lambda: None).result()
        return carbon.port, times  # no closing: as after a kill

    port, times = run(first())
    assert list(tmp_path.rglob("*.segment"))

    async def second():
        carbon = Carbon()
        carbon.port = port
        await carbon.start()
        rig = Rig(receivers=[carbon.address], **table)
        rig.now += 1000 * SECOND
        now = rig.measure(10, of="now")
        await rig.until(lambda: sent(carbon, now, 10, of="now"))
        await rig.until(lambda: all(sent(carbon, t, 100) for t in times[:-1]))
        await rig.passes(30)
        await rig.until(lambda: not list(tmp_path.rglob("*.segment")))  # sent and received: nothing is kept
        await rig.ends(carbon)

    run(second())


def test_a_full_disk_rests_the_spool_and_memory_holds_its_bound(tmp_path):
    async def test():
        carbon = await Carbon().start()
        await carbon.stop()
        rig = Rig(receivers=[carbon.address], spool_mb=1.0, spool_dir=str(tmp_path), buffer_points=1000)
        outlet, files = rig.service.outlets[carbon.address], Full()
        outlet.spool.files = files
        for _ in range(20):
            rig.measure(100)
            await rig.passes(2, 2)
            await rig.until(lambda: not outlet.spool_busy)
            rig.now += 8 * SECOND
        assert 900 <= outlet.backlog.size <= 1000 and outlet.backlog.dropped
        assert not [p for p in tmp_path.rglob("*.segment") if p.stat().st_size]
        files.full = False
        rig.now += 61 * SECOND
        rig.measure(100)
        await rig.until(lambda: outlet.backlog.size <= 200)
        await rig.ends()

    run(test())
