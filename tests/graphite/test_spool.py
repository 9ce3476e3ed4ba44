"""Spool of a receiver: spooled points survive the process, and a full disk only pauses the spool."""

import errno
import os

from exporting import ExportHarness, has_all_points, run

from ravenshelf.store.file_system import FileSystem
from ravenshelf.time_units import SECOND
from standins.carbon import CarbonReceiver


class FullFileSystem(FileSystem):
    is_full = True

    def write(self, handle, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(handle, data)


def test_spooled_points_survive_the_process(tmp_path):
    table = {"route": "all", "spool_mb": 1.0, "spool_dir": str(tmp_path), "backfill_points_s": 100_000}

    async def fill_spool():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        harness = ExportHarness(receivers=[receiver.address], **table)
        exporter = harness.service.exporters[receiver.address]
        times = []
        for _ in range(10):
            times.append(harness.measure(100))
            await harness.advance(10, 2)
            await harness.wait_until(lambda: not exporter.spool_transfer.is_busy)
        harness.service.spool_thread.submit(lambda: None).result()
        # The service is not closed, as if the process had been killed.
        return receiver.port, times

    port, times = run(fill_spool())
    assert list(tmp_path.rglob("*.segment"))

    async def send_spooled_points():
        receiver = CarbonReceiver()
        receiver.port = port
        await receiver.start()
        harness = ExportHarness(receivers=[receiver.address], **table)
        harness.now += 1000 * SECOND
        current_time = harness.measure(10, path_group="now")
        await harness.wait_until(lambda: has_all_points(receiver, current_time, 10, path_group="now"))
        await harness.wait_until(lambda: all(has_all_points(receiver, time, 100) for time in times[:-1]))
        await harness.advance(30)
        # All points were received, so the spool removes its segments.
        await harness.wait_until(lambda: not list(tmp_path.rglob("*.segment")))
        await harness.stop(receiver)

    run(send_spooled_points())


def test_a_full_disk_pauses_the_spool_and_the_limit_in_memory_holds(tmp_path):
    async def test():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        harness = ExportHarness(
            receivers=[receiver.address], spool_mb=1.0, spool_dir=str(tmp_path), buffer_points=1000
        )
        exporter, file_system = harness.service.exporters[receiver.address], FullFileSystem()
        exporter.spool_transfer.spool.file_system = file_system
        for _ in range(20):
            harness.measure(100)
            await harness.advance(2, 2)
            await harness.wait_until(lambda: not exporter.spool_transfer.is_busy)
            harness.now += 8 * SECOND
        assert 900 <= exporter.queue.point_count <= 1000 and exporter.queue.dropped_points
        assert not [path for path in tmp_path.rglob("*.segment") if path.stat().st_size]
        file_system.is_full = False
        harness.now += 61 * SECOND
        harness.measure(100)
        await harness.wait_until(lambda: exporter.queue.point_count <= 200)
        await harness.stop()

    run(test())
