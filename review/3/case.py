"""Case 3: the fleet shrinks while some nodes are silent; a drain waits for the count of messages."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.platform import World, play
from review.sites import SOUTH

ENDPOINTS = 21
TROUBLE_AT = 14.0
VANISHED = 4
SHRUNK = 13
SHRINK_AFTER = 2.5
SHRINK_TIME = 8.8
NOTICED_AFTER = 6.0
RETURN_AFTER = 16.0
BETWEEN = 0.5
REMAINING_TRAFFIC = 0.45
END_AT = 45.0


def _vanish(world: World, number: int, uid: str) -> None:
    endpoint = world.endpoints[uid]
    endpoint.stop(silent=True)
    world.record.write(f"endpoint {uid} falls silent")
    world.list_later(NOTICED_AFTER + BETWEEN * number, uid, "DELETED")
    at = TROUBLE_AT + RETURN_AFTER + BETWEEN * number
    world.schedule(at, lambda: world.restart(endpoint, 0.31))


def _shrink(world: World, number: int, uid: str) -> None:
    world.traffic = 1 - (1 - REMAINING_TRAFFIC) * (number + 1) / SHRUNK
    world.drain(world.endpoints[uid], world.random.uniform(3.4, 6.0), (0.0, 0.05))


async def scenario(world: World) -> None:
    """Shrink the fleet one node at a time, while other nodes vanish and return."""
    uids = world.random.sample(list(world.endpoints), VANISHED + SHRUNK)
    if os.environ.get("TROUBLE") != "0":
        for number, uid in enumerate(uids[:VANISHED]):
            world.schedule(TROUBLE_AT, lambda number=number, uid=uid: _vanish(world, number, uid))
    for number, uid in enumerate(uids[VANISHED:]):
        at = TROUBLE_AT + SHRINK_AFTER + SHRINK_TIME * number / SHRUNK
        world.schedule(at, lambda number=number, uid=uid: _shrink(world, number, uid))
    await world.later(END_AT, lambda: None)


def _server_of(number: int, zone: str) -> int:
    return {"hawassa": 0, "shashemene": 1}.get(zone, number // 3 % 2)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, SOUTH, ENDPOINTS, "drain", _server_of, scenario))
