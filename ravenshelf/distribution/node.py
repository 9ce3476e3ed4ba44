"""What all services of one process in the distribution tree share."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

Clock = Callable[[], int]  # returns microseconds; must advance while the process is suspended


class Node(NamedTuple):
    """A process in the distribution tree. `parent_addresses`: host:port by name of the parent, the preferred
    first."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    cluster: str
    name: str
    parent_addresses: Mapping[str, str]
