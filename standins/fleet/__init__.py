"""Several pilots side by side in one small simulated fleet, on a clock set by hand.

Pilots are driven through their own rounds, so what proxies hold comes from messages as written. `World` has flows that
follow the tables at once; `RequestWorld` draws every request and follows its tries. Neither says how well a day would go.
"""

from standins.fleet.discovery import Discovery
from standins.fleet.flow_world import World
from standins.fleet.parameters import Parameters
from standins.fleet.request_world import RequestWorld

__all__ = ["Discovery", "Parameters", "RequestWorld", "World"]
