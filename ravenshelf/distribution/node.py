"""Properties of a process in the distribution tree, which all its services use."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

# Returns the time in microseconds; the clock must also advance while the process is suspended.
Clock = Callable[[], int]


class Node(NamedTuple):
    """A process in the distribution tree.

    `parent_addresses` has the host:port of each parent by the parent's name, the preferred parent first.
    """

    loop: asyncio.AbstractEventLoop
    clock: Clock
    cluster: str
    name: str
    parent_addresses: Mapping[str, str]
