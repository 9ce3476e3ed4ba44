"""The spool of a receiver: what it holds outlives the process, and a full disk does no harm."""

import errno
import os

from exporting import ExportRig, has_all, run

from ravenshelf.graphite.decisions.connection import SECOND
from ravenshelf.store.file_system import FileSystem
from standins.carbon import CarbonReceiver


class FullDisk(FileSystem):
    full = True

    def write(self, handle, data):
        if self.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(handle, data)


def test_spooled_points_outlive_the_process(tmp_path):
    table = {"route": "all", "spool_mb": 1.0, "spool_dir": str(tmp_path), "backfill_points_s": 100_000}

    async def first():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        rig = ExportRig(receivers=[receiver.address], **table)
        exporter = rig.service.exporters[receiver.address]
        times = []
        for _ in range(10):
            times.append(rig.measure(100))
            await rig.advance(10, 2)
            await rig.wait_until(lambda: not exporter.spool_transfer.is_busy)
        rig.service.spool_thread.submit(lambda: None).result()
        return receiver.port, times  # no closing: as after a kill

    port, times = run(first())
    assert list(tmp_path.rglob("*.segment"))

    async def second():
        receiver = CarbonReceiver()
        receiver.port = port
        await receiver.start()
        rig = ExportRig(receivers=[receiver.address], **table)
        rig.now += 1000 * SECOND
        now = rig.measure(10, of="now")
        await rig.wait_until(lambda: has_all(receiver, now, 10, of="now"))
        await rig.wait_until(lambda: all(has_all(receiver, t, 100) for t in times[:-1]))
        await rig.advance(30)
        await rig.wait_until(
            lambda: not list(tmp_path.rglob("*.segment"))
        )  # sent and received: nothing is kept
        await rig.stop(receiver)

    run(second())


def test_a_full_disk_pauses_the_spool_and_the_limit_in_memory_holds(tmp_path):
    async def test():
        receiver = await CarbonReceiver().start()
        await receiver.stop()
        rig = ExportRig(
            receivers=[receiver.address], spool_mb=1.0, spool_dir=str(tmp_path), buffer_points=1000
        )
        exporter, file_system = rig.service.exporters[receiver.address], FullDisk()
        exporter.spool_transfer.spool.file_system = file_system
        for _ in range(20):
            rig.measure(100)
            await rig.advance(2, 2)
            await rig.wait_until(lambda: not exporter.spool_transfer.is_busy)
            rig.now += 8 * SECOND
        assert 900 <= exporter.queue.point_count <= 1000 and exporter.queue.dropped_points
        assert not [p for p in tmp_path.rglob("*.segment") if p.stat().st_size]
        file_system.full = False
        rig.now += 61 * SECOND
        rig.measure(100)
        await rig.wait_until(lambda: exporter.queue.point_count <= 200)
        await rig.stop()

    run(test())
