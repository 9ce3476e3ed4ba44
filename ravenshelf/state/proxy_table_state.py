"""What one joined proxy was sent, and what it may still hold from before."""


class ProxyTableState:
    """What one proxy was sent on its present stream, and what it may have cached from earlier streams.

    `join_order` counts the joins of all proxies. `has_unknown_history`: other servers, or this one before a
    restart, may have ejected endpoints at it. `ejected_before`: endpoints that this server ever ejected
    at it.
    """

    def __init__(self, join_order: int, has_unknown_history: bool, ejected_before: set[int]):
        self.join_order = join_order
        self.table_by_group: dict[int, int] = {}
        self.ejected: set[int] = set()  # on this stream, and not readmitted since
        self.confirmed: set[int] = set()  # endpoints that this stream has ejected or readmitted
        self.has_unknown_history = has_unknown_history
        self.ejected_before = ejected_before
        self.rebound_groups: set[int] = set()  # in this control cycle
        self.changed_ejections: set[int] = set()  # endpoints to eject or readmit in this cycle

    def has_ejected(self, endpoint: int) -> bool:
        """Return whether this server, on this stream or an earlier one, had it eject the endpoint."""
        if endpoint in self.ejected:
            return True
        return endpoint in self.ejected_before and endpoint not in self.confirmed

    def forget_endpoint(self, endpoint: int) -> None:
        """Forget everything about an endpoint whose index now belongs to another."""
        self.ejected.discard(endpoint)
        self.ejected_before.discard(endpoint)
        self.confirmed.discard(endpoint)

    def end_cycle(self) -> None:
        """Forget what this control cycle has changed."""
        self.rebound_groups = set()
        self.changed_ejections = set()
