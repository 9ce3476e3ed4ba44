"""Case 2: a room is lost with its gateways; its first node to return is pushed over while it is cold."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.platform import World, play
from review.sites import SOUTH

ENDPOINTS = 18
LOST_ZONE = "dilla"
LOST_AT = 14.0
# The seconds after the loss at which the first node returns at the earliest, and the others return.
FIRST_RETURN_AFTER = 12.0
RETURN_AFTER = (19.0, 20.0, 21.0, 22.0, 23.0)
# The gateways return this long after the first node. Its listing comes in between.
GATEWAYS_AFTER = (0.55, 0.75)
SOLVE_INTERVAL = 2.5
END_AT = 50.0


def _first_return(world: World) -> float:
    """Return when the first node returns, so that the gateways join soon after a periodic solve.

    The stale table stays in use until the next one. Solves follow the first report at fixed intervals.
    """
    first_solve = (world.first_report_at or 0.0) + 0.25
    earliest = LOST_AT + FIRST_RETURN_AFTER + GATEWAYS_AFTER[0]
    solves = -(-(earliest - first_solve) // SOLVE_INTERVAL)
    return first_solve + solves * SOLVE_INTERVAL + 0.3 - GATEWAYS_AFTER[0]


def _lose_zone(world: World) -> None:
    endpoints = [endpoint for endpoint in world.endpoints.values() if endpoint.zone == LOST_ZONE]
    for endpoint in endpoints:
        endpoint.stop()
        world.list_later(world.random.uniform(1.2, 4.2), endpoint.uid, "DELETED")
    first_return = _first_return(world)
    returns = [first_return, *(LOST_AT + after for after in RETURN_AFTER)]
    world.record.write(f"{LOST_ZONE} is lost; its first node returns at {first_return:.2f}")
    for endpoint, at in zip(endpoints, returns, strict=True):
        world.schedule(at, lambda endpoint=endpoint: world.restart(endpoint, 0.31))
    for proxy in world.proxies:
        if proxy.zone == LOST_ZONE:
            proxy.leave("its process died")
            proxy.is_running = False
            at = first_return + world.random.uniform(*GATEWAYS_AFTER)
            world.schedule(at, lambda proxy=proxy: _return_gateway(world, proxy))


def _return_gateway(world: World, proxy) -> None:
    proxy.is_running = True
    proxy.draw_standing_table()
    world.join(proxy)


async def scenario(world: World) -> None:
    """Lose a zone with its gateways, and have them return."""
    if os.environ.get("TROUBLE") != "0":
        world.schedule(LOST_AT, lambda: _lose_zone(world))
    await world.later(END_AT, lambda: None)


def _server_of(number: int, zone: str) -> int:
    return {"hawassa": 0, "shashemene": 1}.get(zone, number // 3 % 2)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, SOUTH, ENDPOINTS, "cold", _server_of, scenario))
