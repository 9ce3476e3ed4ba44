"""Members of a cluster with their disks, clocks, network and proxies: simulated and seeded.

The member under test is the program's own (`leadership.decisions`, `record`, `inheritance`); here are only
its surroundings and what an adapter would do with it. A schedule of faults is drawn from the seed; the same
seed gives the same history to the last event. `Defect` names deliberate defects, by which the checker
(`histories`) is checked.
"""

from standins.controllers.cluster import SimulatedCluster
from standins.controllers.parameters import END_US, Defect, Fault

__all__ = ["END_US", "Defect", "Fault", "SimulatedCluster"]
