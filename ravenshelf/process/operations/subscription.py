"""The subscription to the tables of a service that an owner decides."""

import random

from ravenshelf.distribution.pilot_service import PilotDistribution
from ravenshelf.leadership.cluster import clock
from ravenshelf.operator_config.tables import Operator
from ravenshelf.process.operations.part import Measurements, OperatedServer


class Subscription:
    """Replaces the server's controller by one that uses the owner's tables; has to be made before the first
    cycle."""

    def __init__(self, operator: Operator, server: OperatedServer, random_source: random.Random) -> None:
        table = operator.distribution
        self.server = server
        self.service = PilotDistribution(
            table.service,
            table.cluster,
            table.name,
            table.parents,
            server.loop,
            clock,
            random_source,
            name_of=self._endpoint_name,
            index_of=server.listing.index_by_name.get,
        )
        server.sums = self.service
        server.rounds.decide_with(self.service.controller)

    def _endpoint_name(self, endpoint: int) -> str:
        name: str = self.server.listing.names[endpoint]
        return name

    async def start(self) -> None:
        """Connect to the parents."""
        self.service.start()

    def reload(self, previous: Operator, current: Operator) -> None:
        """Do nothing: a changed table takes effect after a restart."""

    def measurements(self) -> Measurements:
        """Return nothing: relays export the metrics of the distribution."""
        return Measurements({}, {})

    def close(self) -> None:
        """Close the connections."""
        self.service.stop()
