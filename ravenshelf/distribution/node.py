"""Properties of a process in the distribution tree, which all its services use."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

Clock = Callable[[], int]  # Returns microseconds, and must advance while the process is suspended.


class Node(NamedTuple):
    """A process in the distribution tree.

    `parent_addresses` has the host:port of each parent by the parent's name, the preferred parent first.
    """

    loop: asyncio.AbstractEventLoop
    clock: Clock
    cluster: str
    name: str
    parent_addresses: Mapping[str, str]
