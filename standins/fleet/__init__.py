"""Several control-plane servers in one small simulated fleet, on a simulated clock.

Servers run their own control cycles, so what proxies hold comes from messages as written. `RateSimulation`
has request rates that follow the tables at once; `RequestSimulation` draws every request and follows its
attempts. Neither predicts how well a day would go.
"""

from standins.fleet.parameters import Parameters
from standins.fleet.rate_simulation import RateSimulation
from standins.fleet.registry import SimulatedRegistry
from standins.fleet.request_simulation import RequestSimulation

__all__ = ["Parameters", "RateSimulation", "RequestSimulation", "SimulatedRegistry"]
