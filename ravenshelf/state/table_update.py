"""The parts of a message to one proxy, in this server's numbers; the codec puts them into words."""

from dataclasses import dataclass, field
from typing import NamedTuple


class AdmissionLevel(NamedTuple):
    """How much of a traffic group a proxy admits, and how it retries.

    `level` is a rate (requests/s) or a share, as the settings say; `retry_mode` is 0 to 3.
    """

    level: float
    retry_mode: int


@dataclass
class TableUpdate:
    """What changes for some traffic groups of one proxy.

    `groups` are indices of traffic groups (empty: all). A complete part replaces the table of its groups; any
    other part changes the weights that it names, where 0 removes the endpoint. `ejected_endpoints` and
    `readmitted_endpoints` hold for every group of the proxy.
    """

    groups: tuple[int, ...] = ()
    is_complete: bool = False
    weights: list[tuple[int, float]] = field(default_factory=list)
    admission_level: AdmissionLevel | None = None
    ejected_endpoints: list[int] = field(default_factory=list)
    readmitted_endpoints: list[int] = field(default_factory=list)
    marker: int | None = None

    def count_lines(self) -> int:
        """Lines as the control channel counts them, without the message overhead."""
        singles = self.is_complete + (self.admission_level is not None) + (self.marker is not None)
        return singles + len(self.weights) + len(self.ejected_endpoints) + len(self.readmitted_endpoints)
