"""Receivers that stop reading, read slowly, reset and refuse, on real sockets of loopback; the clock is the
test's."""

import asyncio

import pytest
from exporting import START_S, ExportRig, has_all, run

from ravenshelf.graphite.decisions.connection import SECOND, ReceiverState
from ravenshelf.operator_config.tables import Graphite as Table
from standins.carbon import (
    AcceptAll,
    CarbonReceiver,
    CloseConnection,
    ReadSlowly,
    ResetConnection,
    StopReading,
)


@pytest.mark.parametrize("protocol", ["plaintext", "pickle"])
def test_metrics_reach_all_receivers_with_the_time_of_their_interval(protocol):
    async def test():
        receivers = [await CarbonReceiver(protocol=protocol).start() for _ in range(2)]
        rig = ExportRig(receivers=[c.address for c in receivers], protocol=protocol)
        times = []
        for _ in range(3):
            times.append(rig.measure())
            await rig.wait_until(lambda: all(has_all(c, times[-1]) for c in receivers))
            await rig.advance(10)
        assert times == [START_S // 10 * 10 + 10 * n for n in range(3)]
        assert all(len(c.points) == 150 and not c.duplicates and not c.malformed for c in receivers)
        await rig.stop(*receivers)

    run(test())


def test_a_receiver_that_stops_reading_is_disconnected_and_gets_everything_once_it_is_back():
    async def test():
        receiver = await CarbonReceiver(
            [StopReading(after_bytes=300), AcceptAll()], buffer_bytes=2048
        ).start()
        rig = ExportRig(receivers=[receiver.address], buffer_points=200_000)
        await rig.wait_until(lambda: rig.state(receiver.address) == ReceiverState.CONNECTED)
        times, states = [], set()

        def step():
            times.append(rig.measure(4000))
            states.add(rig.state(receiver.address))

        await rig.advance(60, 10, step)
        assert ReceiverState.STALLED in states
        await rig.advance(40)
        await rig.wait_until(lambda: receiver.connections > 1)
        await rig.wait_until(lambda: all(has_all(receiver, time, 4000) for time in times))
        assert not receiver.malformed
        await rig.stop(receiver)

    run(test())


def test_a_receiver_that_reads_a_byte_a_second_counts_as_stalled():
    async def test():
        receiver = await CarbonReceiver([ReadSlowly()], buffer_bytes=2048).start()
        rig = ExportRig(receivers=[receiver.address], buffer_points=100_000)
        await rig.wait_until(lambda: rig.state(receiver.address) == ReceiverState.CONNECTED)
        while rig.state(receiver.address) == ReceiverState.CONNECTED:
            rig.measure(4000)
            await rig.advance(6)
        assert rig.state(receiver.address) in (ReceiverState.STALLED, ReceiverState.BACKING_OFF)
        before = rig.queue(receiver.address).point_count
        await rig.advance(300, 5, lambda: rig.measure(4000))
        assert (
            before < rig.queue(receiver.address).point_count <= 100_000
            and rig.queue(receiver.address).dropped_points
        )
        await rig.stop(receiver)

    run(test())


@pytest.mark.parametrize(
    "protocol, behaviour",
    [
        pytest.param("pickle", ResetConnection, id="pickle-reset"),
        pytest.param("plaintext", ResetConnection, id="plaintext-reset"),
        pytest.param("pickle", CloseConnection, id="pickle-close"),
        pytest.param("plaintext", CloseConnection, id="plaintext-close"),
    ],
)
def test_a_connection_that_ends_within_a_frame_costs_no_point_and_cuts_none_in_two(protocol, behaviour):
    async def test():
        receiver = await CarbonReceiver(
            [behaviour(after_bytes=n) for n in (1, 700, 3000)] + [AcceptAll()], protocol
        ).start()
        rig = ExportRig(receivers=[receiver.address], protocol=protocol)
        times = []
        for _ in range(6):
            times.append(rig.measure(200))
            await rig.advance(30)
        await rig.wait_until(lambda: all(has_all(receiver, time, 200) for time in times))
        assert receiver.connections >= 4 and receiver.truncated and not receiver.malformed
        assert len(receiver.points) == 6 * 200  # some came twice, at the same time and path: one point
        await rig.stop(receiver)

    run(test())


def test_after_an_hour_without_a_receiver_current_points_come_first_then_the_queue_oldest_first():
    async def test():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        rig = ExportRig(receivers=[receiver.address], buffer_points=1000, backfill_points_s=50, every_s=60)
        times = []
        await rig.advance(3600, 60, lambda: times.append(rig.measure(50)))
        assert (
            rig.queue(receiver.address).point_count == 1000
            and rig.queue(receiver.address).dropped_points == 2000
        )
        await receiver.start()
        await rig.advance(70)
        await rig.wait_until(lambda: receiver.points)
        assert min(t for _, t in receiver.points) >= times[-20]
        now = rig.measure(50, of="now")
        await rig.wait_until(lambda: has_all(receiver, now, of="now"))
        order = list(dict.fromkeys(t for p, t in receiver.points if ".a." in p))
        assert (
            order[1:] == sorted(order[1:]) and order[0] == times[-1]
        )  # the newest held, then from the oldest on
        await rig.advance(60)
        await rig.wait_until(lambda: all(has_all(receiver, t) for t in times[-20:]))
        await rig.stop(receiver)

    run(test())


def test_all_addresses_of_a_name_are_tried_and_it_is_looked_up_at_each_attempt():
    async def test():
        receiver, asked = await CarbonReceiver().start(), []

        async def resolve(host, port):
            asked.append(host)
            return [("127.0.0.2", 1), ("127.0.0.3", 1), ("127.0.0.1", receiver.port)]

        rig = ExportRig(resolve, receivers=[f"graphite.example:{receiver.port}"])
        time = rig.measure()
        await rig.wait_until(lambda: has_all(receiver, time))
        assert asked == ["graphite.example"]

        async def nothing(host, port):
            raise OSError("no such name")

        for exporter in rig.service.exporters.values():
            exporter.resolve = nothing
        await receiver.stop()
        rig.measure()
        await rig.wait_until(
            lambda: rig.state(f"graphite.example:{receiver.port}") == ReceiverState.BACKING_OFF
        )
        await rig.stop()

    run(test())


def test_a_name_server_that_hangs_is_given_up_after_the_connect_timeout():
    async def test():
        async def hangs(host, port):
            await asyncio.Event().wait()

        rig = ExportRig(hangs, receivers=["graphite.example:2003"])
        await rig.wait_until(lambda: rig.state("graphite.example:2003") == ReceiverState.CONNECTING)
        await rig.advance(4)
        assert rig.state("graphite.example:2003") in (ReceiverState.BACKING_OFF, ReceiverState.CONNECTING)
        assert rig.service.exporters["graphite.example:2003"].policy.consecutive_failures
        await rig.stop()

    run(test())


def test_the_share_of_a_failed_receiver_moves_and_returns_and_no_point_is_at_two():
    async def test():
        receivers = [await CarbonReceiver().start() for _ in range(3)]
        rig = ExportRig(receivers=[c.address for c in receivers], route="hash")
        times = []

        async def measure(times_more):
            for _ in range(times_more):
                times.append(rig.measure(300))
                await rig.advance(10)

        await measure(3)
        shares = [{p for p, _ in c.points} for c in receivers]
        assert all(len(s) > 60 for s in shares) and not shares[0] & shares[1]
        await receivers[0].stop()
        await measure(6)
        moved = {p for c in receivers[1:] for p, t in c.points if t == times[-1]}
        assert moved == shares[0] | shares[1] | shares[2]
        await receivers[0].start()
        await measure(16)
        for receiver, share in zip(receivers, shares, strict=True):
            assert {p for p, t in receiver.points if t == times[-1]} == share
        held = [point for c in receivers for point in c.points]
        assert len(held) == len(set(held)) == 300 * len(times)  # none missing, none at two receivers
        await rig.stop(*receivers)

    run(test())


@pytest.mark.parametrize("route", ["all", "hash"])
def test_a_reload_that_replaces_a_receiver_hands_over_its_full_queue(route):
    async def test():
        dead, stays, new = (
            await CarbonReceiver([StopReading()], buffer_bytes=2048).start(),
            await CarbonReceiver().start(),
            await CarbonReceiver().start(),
        )
        await dead.stop()
        rig = ExportRig(receivers=[dead.address, stays.address], route=route, buffer_points=1000, every_s=1)
        for _ in range(30 if route == "all" else 4):  # by share, a longer absence would have moved it already
            rig.measure(100 if route == "all" else 700)
            await rig.advance(0.2, 0.2)
            rig.now += 10 * SECOND if route == "all" else 2 * SECOND
        waits = rig.queue(dead.address).point_count
        assert waits > 200
        connection = rig.service.exporters[stays.address].connection
        rig.service.reload(
            Table(receivers=[stays.address, new.address], route=route, buffer_points=1000, every_s=1)
        )
        assert (
            rig.service.exporters[stays.address].connection is connection
        )  # a receiver that stays is not dialled anew
        await rig.advance(30)
        await rig.wait_until(
            lambda: not any(rig.queue(a).queued_batches[1] for a in (stays.address, new.address))
        )
        if route == "all":
            await rig.wait_until(lambda: len(new.points) >= waits)
        else:
            await rig.wait_until(lambda: len(new.points) + len(stays.points) >= waits)
            assert not set(new.points) & set(stays.points)
        await rig.stop(stays, new)

    run(test())
