"""Subscription to the tables of a service, which a service owner decides and publishes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ravenshelf.distribution.node import Node
from ravenshelf.distribution.server_distribution import ServerDistribution
from ravenshelf.leadership.cluster import clock
from ravenshelf.operator_config.tables import OperatorConfiguration
from ravenshelf.process.operations.feature import Measurements

if TYPE_CHECKING:
    from ravenshelf.process.control_plane import ControlPlaneServer


class Subscription:
    """Subscription that replaces the server's controller by one that uses the service owner's tables.

    It must be created before the first control cycle.

    Args:
        operator: The operator file's tables.
        server: The server whose controller is replaced.
        random_source: Source of the random choices of the distribution.
    """

    def __init__(
        self, operator: OperatorConfiguration, server: ControlPlaneServer, random_source: random.Random
    ) -> None:
        table = operator.distribution
        self.server = server
        node = Node(server.loop, clock, table.cluster, table.name, table.parents)
        self.service = ServerDistribution(
            node,
            table.service,
            random_source,
            name_of=self._endpoint_name,
            index_of=server.registry.index_by_name.get,
        )
        server.observers.append(self.service)
        server.control_cycle.replace_controller(self.service.make_controller)

    def _endpoint_name(self, endpoint: int) -> str:
        return self.server.registry.names[endpoint]

    async def start(self) -> None:
        """Connect to the parents."""
        self.service.start()

    def reload(self, previous_operator: OperatorConfiguration, new_operator: OperatorConfiguration) -> None:
        """Do nothing, because a changed table `[distribution]` takes effect only after a restart."""

    def measurements(self) -> Measurements:
        """Return empty measurements, because the relays export the metrics of the distribution."""
        return Measurements({}, {})

    def close(self) -> None:
        """Close the connections to the parents."""
        self.service.stop()
