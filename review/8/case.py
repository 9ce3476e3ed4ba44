"""Discovery is cut off for 6 s, and the connection with which the server asks again never comes up."""

import asyncio
import time
from pathlib import Path

from review.second.world import ZONES, World, run

RECORD = Path(__file__).parent / "record.txt"
QUIET_S = 5.0
CUT_S = 6.0
CHANGE_AFTER_S = 0.3
WATCHED_S = 12.0
LEAVING = "s-ha1"


def make_world() -> World:
    """Return a small deployment."""
    return World(RECORD, dict.fromkeys(ZONES, 6), 12)


async def play(world: World) -> list[str]:
    """Drain an endpoint while discovery is cut off, and look for requests to it."""
    await world.start()
    await asyncio.sleep(QUIET_S)
    started_at = time.monotonic()
    world.relay.is_cut = world.has_trouble
    world.record.write("trouble", cut_s=CUT_S if world.has_trouble else 0)
    await asyncio.sleep(CHANGE_AFTER_S)
    drained = world.registry.change(LEAVING, "DRAINING")
    world.record.write("listed", uid=LEAVING, state="DRAINING", rev=drained)
    await asyncio.sleep(CUT_S - CHANGE_AFTER_S)
    world.relay.is_cut = False
    world.record.write("cut_over")
    await asyncio.sleep(WATCHED_S)
    told_at = world.registry.told_at(drained)
    if told_at is None:
        raise RuntimeError("the drain was never told")
    late = world.late_sends(LEAVING, told_at, time.monotonic())
    arrivals = [round(at - started_at, 2) for at, rev in world.registry.arrivals if rev >= drained]
    world.record.write("told", counts_after_s=round(told_at - started_at, 2), arrived_after_s=arrivals)
    if not late:
        return []
    return [
        f"{len(late)} requests to {LEAVING} after the grace, the last {late[-1].at - told_at:.1f} s after "
        f"its drain counts as told; it arrived {arrivals} s after the cut began, which lasted {CUT_S} s"
    ]


run(make_world, play)
