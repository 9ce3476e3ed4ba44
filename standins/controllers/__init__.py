"""A seeded simulation of a cluster: members with their disks and clocks, the network and the proxies.

The members run the program's own code (`leadership.decisions`, `record`, `inheritance`). This package
simulates only their environment and the leadership service that calls them. The schedule of faults is drawn
from the seed. The same seed produces the same history up to the last event, also in another process if that
has the same PYTHONHASHSEED, on which the order of endpoints in sets depends. `Defect` lists deliberate
defects, with which tests verify that the history checker (`standins.histories`) detects violations.
"""

from standins.controllers.cluster import SimulatedCluster
from standins.controllers.parameters import END_US, Defect, Fault

__all__ = ["END_US", "Defect", "Fault", "SimulatedCluster"]
