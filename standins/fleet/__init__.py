"""Several control-plane servers in one small simulated fleet, on a simulated clock.

Every server runs the real control cycle, and proxies get their tables from the messages that it writes. In a
`RateSimulation`, requests are rates that follow the tables at once; in a `RequestSimulation`, every request
is drawn and its attempts are followed. Neither predicts how well a real deployment would perform.
"""

from standins.fleet.parameters import Parameters
from standins.fleet.rate_simulation import RateSimulation
from standins.fleet.registry import SimulatedRegistry
from standins.fleet.request_simulation import RequestSimulation

__all__ = ["Parameters", "RateSimulation", "RequestSimulation", "SimulatedRegistry"]
