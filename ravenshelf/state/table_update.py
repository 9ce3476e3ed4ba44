"""The updates that make up a message to a proxy, with endpoints and traffic groups as indices."""

from dataclasses import dataclass, field
from typing import NamedTuple


class AdmissionLevel(NamedTuple):
    """The limit on the requests of a traffic group that a proxy admits, and the way in which it retries.

    Attributes:
        level: A rate in requests per second or a share of the requests, depending on the settings.
        retry_mode: Number of the retry mode, from 0 to 3.
    """

    level: float
    retry_mode: int


@dataclass
class TableUpdate:
    """A change for some traffic groups of one proxy; a message has one or several.

    Attributes:
        groups: Indices of the traffic groups; empty for all groups.
        is_complete: Whether `weights` replace the table of the groups. If not, only the weights of the listed
            endpoints change.
        weights: Indices of endpoints with their weights; a weight of 0 removes the endpoint.
        admission_level: New admission level of the groups, or None.
        ejected_endpoints: Indices of endpoints that the proxy ejects, in all its groups.
        readmitted_endpoints: Indices of endpoints that the proxy readmits, in all its groups.
        marker: Marker that the proxy acknowledges, or None.
    """

    groups: tuple[int, ...] = ()
    is_complete: bool = False
    weights: list[tuple[int, float]] = field(default_factory=list)
    admission_level: AdmissionLevel | None = None
    ejected_endpoints: list[int] = field(default_factory=list)
    readmitted_endpoints: list[int] = field(default_factory=list)
    marker: int | None = None

    def count_lines(self) -> int:
        """Return the number of lines that the control channel counts, without the message overhead."""
        single_lines = self.is_complete + (self.admission_level is not None) + (self.marker is not None)
        return single_lines + len(self.weights) + len(self.ejected_endpoints) + len(self.readmitted_endpoints)
