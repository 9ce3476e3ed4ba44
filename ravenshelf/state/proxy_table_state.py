"""The tables and ejections that a joined proxy was sent, also on earlier streams."""


class ProxyTableState:
    """The tables and ejections of one joined proxy, as far as this server knows them.

    Attributes:
        join_order: Number of the proxy's join among the joins of all proxies.
        table_by_group: Table that the proxy is bound to, by traffic group.
        ejected_endpoints: Endpoints that were ejected on the present stream and not readmitted since.
        reconciled_endpoints: Endpoints that were ejected or readmitted on the present stream, so that their
            state at the proxy is known.
        has_unknown_history: Whether other servers, or this one before a restart, may have ejected endpoints
            at the proxy.
        earlier_ejections: Endpoints that this server has ever ejected at the proxy on earlier streams.
        rebound_groups: Traffic groups that were bound to a table in this control cycle.
        changed_ejections: Endpoints to eject or readmit in this control cycle.
    """

    def __init__(self, join_order: int, has_unknown_history: bool, earlier_ejections: set[int]):
        self.join_order = join_order
        self.table_by_group: dict[int, int] = {}
        self.ejected_endpoints: set[int] = set()
        self.reconciled_endpoints: set[int] = set()
        self.has_unknown_history = has_unknown_history
        self.earlier_ejections = earlier_ejections
        self.rebound_groups: set[int] = set()
        self.changed_ejections: set[int] = set()

    def has_ejected(self, endpoint: int) -> bool:
        """Return whether the proxy has ejected the endpoint by a command of this server, on any stream."""
        if endpoint in self.ejected_endpoints:
            return True
        return endpoint in self.earlier_ejections and endpoint not in self.reconciled_endpoints

    def forget_endpoint(self, endpoint: int) -> None:
        """Discard the ejections of an endpoint whose index was reassigned to another one."""
        self.ejected_endpoints.discard(endpoint)
        self.earlier_ejections.discard(endpoint)
        self.reconciled_endpoints.discard(endpoint)

    def end_cycle(self) -> None:
        """Discard the changes of this control cycle."""
        self.rebound_groups = set()
        self.changed_ejections = set()
