"""Export to receivers that stop reading, read slowly, reset connections or refuse them.

The receivers use real sockets of the loopback interface; the test controls the clock.
"""

import asyncio

import pytest
from exporting import START_S, ExportHarness, has_all_points, run

from ravenshelf.graphite.decisions.connection import ReceiverState
from ravenshelf.operator_config.tables import Graphite as Table
from ravenshelf.time_units import SECOND
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
        harness = ExportHarness(receivers=[receiver.address for receiver in receivers], protocol=protocol)
        times = []
        for _ in range(3):
            times.append(harness.measure())
            await harness.wait_until(
                lambda: all(has_all_points(receiver, times[-1]) for receiver in receivers)
            )
            await harness.advance(10)
        assert times == [START_S // 10 * 10 + 10 * n for n in range(3)]
        assert all(
            len(receiver.points) == 150 and not receiver.duplicate_count and not receiver.malformed_lines
            for receiver in receivers
        )
        await harness.stop(*receivers)

    run(test())


def test_a_receiver_that_stops_reading_is_disconnected_and_gets_all_points_after_reconnecting():
    async def test():
        receiver = await CarbonReceiver(
            [StopReading(after_bytes=300), AcceptAll()], buffer_bytes=2048
        ).start()
        harness = ExportHarness(receivers=[receiver.address], buffer_points=200_000)
        await harness.wait_until(lambda: harness.state(receiver.address) == ReceiverState.CONNECTED)
        times, observed_states = [], set()

        def measure_and_observe():
            times.append(harness.measure(4000))
            observed_states.add(harness.state(receiver.address))

        await harness.advance(60, 10, measure_and_observe)
        assert ReceiverState.STALLED in observed_states
        await harness.advance(40)
        await harness.wait_until(lambda: receiver.connection_count > 1)
        await harness.wait_until(lambda: all(has_all_points(receiver, time, 4000) for time in times))
        assert not receiver.malformed_lines
        await harness.stop(receiver)

    run(test())


def test_a_receiver_that_reads_one_byte_per_second_counts_as_stalled():
    async def test():
        receiver = await CarbonReceiver([ReadSlowly()], buffer_bytes=2048).start()
        harness = ExportHarness(receivers=[receiver.address], buffer_points=100_000)
        await harness.wait_until(lambda: harness.state(receiver.address) == ReceiverState.CONNECTED)
        while harness.state(receiver.address) == ReceiverState.CONNECTED:
            harness.measure(4000)
            await harness.advance(6)
        assert harness.state(receiver.address) in (ReceiverState.STALLED, ReceiverState.BACKING_OFF)
        earlier_count = harness.queue(receiver.address).point_count
        await harness.advance(300, 5, lambda: harness.measure(4000))
        assert (
            earlier_count < harness.queue(receiver.address).point_count <= 100_000
            and harness.queue(receiver.address).dropped_points
        )
        await harness.stop(receiver)

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
def test_no_point_is_lost_or_truncated_when_a_connection_ends_within_a_frame(protocol, behaviour):
    async def test():
        receiver = await CarbonReceiver(
            [behaviour(after_bytes=byte_count) for byte_count in (1, 700, 3000)] + [AcceptAll()], protocol
        ).start()
        harness = ExportHarness(receivers=[receiver.address], protocol=protocol)
        times = []
        for _ in range(6):
            times.append(harness.measure(200))
            await harness.advance(30)
        await harness.wait_until(lambda: all(has_all_points(receiver, time, 200) for time in times))
        assert receiver.connection_count >= 4 and receiver.truncated_count and not receiver.malformed_lines
        # Points that are received twice have the same path and time, so they count once.
        assert len(receiver.points) == 6 * 200
        await harness.stop(receiver)

    run(test())


def test_after_an_hour_without_a_receiver_current_points_are_sent_first_then_the_queue_oldest_first():
    async def test():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        harness = ExportHarness(
            receivers=[receiver.address], buffer_points=1000, backfill_points_s=50, every_s=60
        )
        times = []
        await harness.advance(3600, 60, lambda: times.append(harness.measure(50)))
        assert (
            harness.queue(receiver.address).point_count == 1000
            and harness.queue(receiver.address).dropped_points == 2000
        )
        await receiver.start()
        await harness.advance(70)
        await harness.wait_until(lambda: receiver.points)
        assert min(time for _, time in receiver.points) >= times[-20]
        current_time = harness.measure(50, path_group="now")
        await harness.wait_until(lambda: has_all_points(receiver, current_time, path_group="now"))
        sent_times = list(dict.fromkeys(time for path, time in receiver.points if ".a." in path))
        # The newest queued batch is sent first, then the others from the oldest on.
        assert sent_times[1:] == sorted(sent_times[1:]) and sent_times[0] == times[-1]
        await harness.advance(60)
        await harness.wait_until(lambda: all(has_all_points(receiver, time) for time in times[-20:]))
        await harness.stop(receiver)

    run(test())


def test_all_addresses_of_a_name_are_tried_and_the_name_is_resolved_at_each_attempt():
    async def test():
        receiver, resolved_hosts = await CarbonReceiver().start(), []

        async def resolve(host, port):
            resolved_hosts.append(host)
            return [("127.0.0.2", 1), ("127.0.0.3", 1), ("127.0.0.1", receiver.port)]

        harness = ExportHarness(resolve, receivers=[f"graphite.example:{receiver.port}"])
        time = harness.measure()
        await harness.wait_until(lambda: has_all_points(receiver, time))
        assert resolved_hosts == ["graphite.example"]

        async def fail_to_resolve(host, port):
            raise OSError("no such name")

        for exporter in harness.service.exporters.values():
            exporter.resolve = fail_to_resolve
        await receiver.stop()
        harness.measure()
        await harness.wait_until(
            lambda: harness.state(f"graphite.example:{receiver.port}") == ReceiverState.BACKING_OFF
        )
        await harness.stop()

    run(test())


def test_an_attempt_fails_after_the_connect_timeout_if_the_name_server_does_not_answer():
    async def test():
        async def resolve_without_answer(host, port):
            await asyncio.Event().wait()

        harness = ExportHarness(resolve_without_answer, receivers=["graphite.example:2003"])
        await harness.wait_until(lambda: harness.state("graphite.example:2003") == ReceiverState.CONNECTING)
        await harness.advance(4)
        assert harness.state("graphite.example:2003") in (ReceiverState.BACKING_OFF, ReceiverState.CONNECTING)
        assert harness.service.exporters["graphite.example:2003"].policy.consecutive_failures
        await harness.stop()

    run(test())


def test_the_share_of_a_failed_receiver_moves_and_returns_and_no_point_reaches_two_receivers():
    async def test():
        receivers = [await CarbonReceiver().start() for _ in range(3)]
        harness = ExportHarness(receivers=[carbon.address for carbon in receivers], route="hash")
        times = []

        async def measure(count):
            for _ in range(count):
                times.append(harness.measure(300))
                await harness.advance(10)

        await measure(3)
        shares = [{path for path, _ in carbon.points} for carbon in receivers]
        assert all(len(paths) > 60 for paths in shares) and not shares[0] & shares[1]
        await receivers[0].stop()
        await measure(6)
        moved_paths = {path for carbon in receivers[1:] for path, time in carbon.points if time == times[-1]}
        assert moved_paths == shares[0] | shares[1] | shares[2]
        await receivers[0].start()
        await measure(16)
        for receiver, share in zip(receivers, shares, strict=True):
            assert {path for path, time in receiver.points if time == times[-1]} == share
        received_points = [point for carbon in receivers for point in carbon.points]
        # No point is missing and none is at two receivers.
        assert len(received_points) == len(set(received_points)) == 300 * len(times)
        await harness.stop(*receivers)

    run(test())


@pytest.mark.parametrize("route", ["all", "hash"])
def test_a_reload_that_replaces_a_receiver_hands_over_its_full_queue(route):
    async def test():
        removed_receiver, remaining_receiver, added_receiver = (
            await CarbonReceiver([StopReading()], buffer_bytes=2048).start(),
            await CarbonReceiver().start(),
            await CarbonReceiver().start(),
        )
        await removed_receiver.stop()
        harness = ExportHarness(
            receivers=[removed_receiver.address, remaining_receiver.address],
            route=route,
            buffer_points=1000,
            every_s=1,
        )
        # With route "hash", a longer absence would already have moved the receiver's share of the points.
        for _ in range(30 if route == "all" else 4):
            harness.measure(100 if route == "all" else 700)
            await harness.advance(0.2, 0.2)
            harness.now += 10 * SECOND if route == "all" else 2 * SECOND
        queued_points = harness.queue(removed_receiver.address).point_count
        assert queued_points > 200
        connection = harness.service.exporters[remaining_receiver.address].connection
        harness.service.reload(
            Table(
                receivers=[remaining_receiver.address, added_receiver.address],
                route=route,
                buffer_points=1000,
                every_s=1,
            )
        )
        # A receiver in both tables keeps its connection.
        assert harness.service.exporters[remaining_receiver.address].connection is connection
        await harness.advance(30)
        await harness.wait_until(
            lambda: (
                not any(
                    harness.queue(receiver).queued_batches[1]
                    for receiver in (remaining_receiver.address, added_receiver.address)
                )
            )
        )
        if route == "all":
            await harness.wait_until(lambda: len(added_receiver.points) >= queued_points)
        else:
            await harness.wait_until(
                lambda: len(added_receiver.points) + len(remaining_receiver.points) >= queued_points
            )
            assert not set(added_receiver.points) & set(remaining_receiver.points)
        await harness.stop(remaining_receiver, added_receiver)

    run(test())
