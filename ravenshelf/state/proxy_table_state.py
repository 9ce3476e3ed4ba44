"""What one joined proxy was sent, and what it may still hold from before."""


class ProxyTableState:
    """What one proxy was sent on its present stream, and what it may have cached from earlier streams.

    `join_order` counts the joins of all proxies. `has_unknown_history`: other servers, or this one before a
    restart, may have ejected endpoints at it. `earlier_ejections`: endpoints that this server ever ejected
    at it.
    """

    def __init__(self, join_order: int, has_unknown_history: bool, earlier_ejections: set[int]):
        self.join_order = join_order
        self.table_by_group: dict[int, int] = {}
        self.ejected_endpoints: set[int] = set()  # on this stream, and not readmitted since
        self.reconciled_endpoints: set[int] = set()  # endpoints that this stream has ejected or readmitted
        self.has_unknown_history = has_unknown_history
        self.earlier_ejections = earlier_ejections
        self.rebound_groups: set[int] = set()  # in this control cycle
        self.changed_ejections: set[int] = set()  # endpoints to eject or readmit in this cycle

    def has_ejected(self, endpoint: int) -> bool:
        """Return whether this server, on this stream or an earlier one, had it eject the endpoint."""
        if endpoint in self.ejected_endpoints:
            return True
        return endpoint in self.earlier_ejections and endpoint not in self.reconciled_endpoints

    def forget_endpoint(self, endpoint: int) -> None:
        """Forget everything about an endpoint whose index now belongs to another."""
        self.ejected_endpoints.discard(endpoint)
        self.earlier_ejections.discard(endpoint)
        self.reconciled_endpoints.discard(endpoint)

    def end_cycle(self) -> None:
        """Forget what this control cycle has changed."""
        self.rebound_groups = set()
        self.changed_ejections = set()
