"""Limit on the memory that incomplete messages of all connections of a listener take together."""

from typing import Protocol

from ravenshelf.net.connection_end import ConnectionEnd


class ClosableConnection(Protocol):
    """The part of the interface of connections that the budget uses."""

    def close(self, end: ConnectionEnd) -> None:
        """End the connection."""


class ReceiveBudget:
    """The bytes of incomplete messages that connections hold.

    A limit for each connection is not enough: hundreds of connections that each hold a part of a large
    message would exceed the memory of the process.

    Attributes:
        limit_bytes: Number of bytes that all connections may hold together.
        held_bytes: Number of bytes that they hold now.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._bytes_by_connection: dict[ClosableConnection, int] = {}

    def record(self, connection: ClosableConnection, size: int) -> None:
        """Record the length of a connection's incomplete message, 0 if it has none.

        While the connections hold more than the limit, the one that holds most is closed, with OUT_OF_MEMORY.
        A connection that is closed has to be recorded with 0.
        """
        held_bytes = self._bytes_by_connection.pop(connection, 0)
        if size:
            self._bytes_by_connection[connection] = size
        self.held_bytes += size - held_bytes
        while self.held_bytes > self.limit_bytes and self._bytes_by_connection:
            largest_connection = max(self._bytes_by_connection, key=self._bytes_by_connection.__getitem__)
            largest_connection.close(ConnectionEnd.OUT_OF_MEMORY)
            self.record(largest_connection, 0)
