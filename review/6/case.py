"""Lists come late: an endpoint is listed as draining and then removed, and both lines arrive together."""

import asyncio
import time
from pathlib import Path

from review.second.world import ZONES, World, run

RECORD = Path(__file__).parent / "record.txt"
QUIET_S = 5.0
DRAIN_S = 3.4  # the shortest drain time of the site's kind `shrink`
LATE_S = 4.0
WATCHED_S = 20.0
LEAVING = "s-ha1"


def make_world() -> World:
    """Return a deployment at which only a listed drain binds."""
    return World(RECORD, dict.fromkeys(ZONES, 6), 12, **{"removal-not-binding": True, "balancers": 1})


async def play(world: World) -> list[str]:
    """Drain and remove one endpoint while the watch is late, and look for requests to it."""
    await world.start()
    await asyncio.sleep(QUIET_S)
    started_at = time.monotonic()
    world.relay.is_late = world.has_trouble
    world.record.write("trouble", lists_late_s=LATE_S if world.has_trouble else 0)
    drained = world.registry.change(LEAVING, "DRAINING")
    world.record.write("listed", uid=LEAVING, state="DRAINING", rev=drained)
    await asyncio.sleep(DRAIN_S)
    removed = world.registry.change(LEAVING, "DELETED")
    world.record.write("listed", uid=LEAVING, state="DELETED", rev=removed)
    await asyncio.sleep(LATE_S - DRAIN_S)
    world.relay.is_late = False
    await asyncio.sleep(WATCHED_S)
    told_at = world.registry.told_at(drained)
    if told_at is None:
        raise RuntimeError("the drain was never told")
    late = world.late_sends(LEAVING, told_at, time.monotonic())
    world.record.write("told", after_s=round(told_at - started_at, 2))
    if not late:
        return []
    return [
        f"{len(late)} requests to {LEAVING} after the grace, the last {late[-1].at - told_at:.1f} s after "
        f"its drain was told, by the proxies {sorted({send.proxy for send in late})}"
    ]


run(make_world, play)
