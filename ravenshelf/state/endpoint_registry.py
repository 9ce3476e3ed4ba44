"""The server's copy of the endpoint list, and the indices that stand for endpoints' names.

An endpoint's index is a small integer. It stays the same when the endpoint restarts.
"""

from collections.abc import Callable

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind

# An index is reassigned at the earliest this long after its endpoint was delisted. By then the effect of the
# reports about that endpoint has decayed.
INDEX_REUSE_DELAY_US = 600_000_000
# At most this many names of endpoints whose index was reassigned are remembered.
FORMER_NAMES_LIMIT = 65_536
# The drain of a removed endpoint is passed to a new controller for this long, because the failed one may not
# have carried it out yet.
DRAIN_MEMORY_US = 60_000_000


class VersionGapError(RavenshelfError):
    """Changes to the endpoint list that start at a later version than the current one.

    The changes in between were missed.

    Attributes:
        current_version: Version of the server's copy.
        after_version: Version that the changes start from.
    """

    def __init__(self, current_version: int, after_version: int):
        super().__init__(f"expected changes that follow version {current_version}, not {after_version}")
        self.current_version = current_version
        self.after_version = after_version


def _ignore_index(index: int) -> None:
    pass


class EndpointRegistry:
    """The server's copy of the endpoint list.

    Args:
        clock: Function that returns the time in microseconds.
        is_in_use: Function that returns whether a table still contains an endpoint that is no longer listed,
            by index.
        on_index_reassigned: Function that is called with an index when it is reassigned to another endpoint.
        on_endpoint_returned: Function that is called with the new index of an endpoint that is listed again
            after its former index was reassigned.

    Attributes:
        version: Version of the copy; 0 before the first list.
        updated_at: Time of the last list or change that was accepted, in microseconds; before the
            first one, the time at which the copy was created.
        names: Names of endpoints, by index.
        index_by_name: Indices of endpoints, by name.
        entries: Listed endpoints as last reported to the controller, by index.
        addresses: host:port of listed endpoints, by index.
        delisted_at: Times at which endpoints were delisted, by index, the earliest first.
        removed_drains: Last entries of endpoints that were draining when they were delisted, by index.
        former_names: Names of endpoints whose index was reassigned, the oldest first.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        is_in_use: Callable[[int], bool],
        on_index_reassigned: Callable[[int], None] = _ignore_index,
        on_endpoint_returned: Callable[[int], None] = _ignore_index,
    ):
        self.clock = clock
        self.is_in_use = is_in_use
        self.on_index_reassigned = on_index_reassigned
        self.on_endpoint_returned = on_endpoint_returned
        self.version = 0
        self.updated_at = clock()
        self.names: list[str] = []
        self.index_by_name: dict[str, int] = {}
        self.entries: dict[int, ListedEndpoint] = {}
        self.addresses: dict[int, str] = {}
        self.delisted_at: dict[int, int] = {}
        self.removed_drains: dict[int, ListedEndpoint] = {}
        self.former_names: dict[str, None] = {}

    def index_of(self, name: str) -> int:
        """Return the index of an endpoint's name.

        A new name is assigned a reusable index, or else the next unused number.
        """
        index = self.index_by_name.get(name)
        if index is not None:
            return index
        index = self._reusable_index()
        if index is None:
            index = len(self.names)
            self.names.append(name)
        else:
            self._reassign(index, name)
        self.index_by_name[name] = index
        if name in self.former_names:
            del self.former_names[name]
            self.on_endpoint_returned(index)
        return index

    def _reassign(self, index: int, name: str) -> None:
        former_name = self.names[index]
        del self.index_by_name[former_name]
        del self.delisted_at[index]
        self.removed_drains.pop(index, None)
        self.former_names[former_name] = None
        if len(self.former_names) > FORMER_NAMES_LIMIT:
            del self.former_names[next(iter(self.former_names))]
        self.names[index] = name
        self.on_index_reassigned(index)

    def _reusable_index(self) -> int | None:
        """Return the reassignable index that was delisted first, or None if there is none."""
        latest_delisting = self.clock() - INDEX_REUSE_DELAY_US
        for index, delisted_at in self.delisted_at.items():
            if delisted_at > latest_delisting:
                break
            if not self.is_in_use(index):
                return index
        return None

    def update(
        self,
        kind: ListKind,
        version: int,
        entries: list[ListedEndpoint],
        addresses: dict[int, str],
        after_version: int | None = None,
    ) -> EndpointsListed | None:
        """Apply a complete list, or changes to the list.

        A list older than the current version is ignored. Changes that lead to the current version or an
        earlier one are ignored too, except that changes of version 0 are applied as long as the current
        version is 0.

        Args:
            kind: Whether `entries` are changes (UPDATE) or complete.
            version: Version of the list, or the version that the changes lead to.
            entries: Endpoints of the list, or changed endpoints.
            addresses: host:port of endpoints, by index.
            after_version: Version that the changes start from, if known.

        Returns:
            The event for the controller, or None if the list or the changes were ignored.

        Raises:
            VersionGapError: The changes start from a version later than the current one. The changes in
                between were missed, so a complete list is needed.
        """
        is_update = kind is ListKind.UPDATE
        if version < self.version or (is_update and version == self.version and version != 0):
            return None
        if is_update and after_version is not None and after_version > self.version:
            raise VersionGapError(self.version, after_version)
        self.version = version
        self.updated_at = self.clock()
        former_entries = self.entries
        self.entries = dict(former_entries) if is_update else {}
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self._record_removed_drain(self.entries.pop(entry.endpoint, None))
            else:
                self.entries[entry.endpoint] = entry
                self.removed_drains.pop(entry.endpoint, None)
        if not is_update:
            for index in former_entries.keys() - self.entries.keys():
                self._record_removed_drain(former_entries[index])
        self.addresses.update(addresses)
        self._update_delisting_times()
        return EndpointsListed(kind, tuple(entries))

    def _record_removed_drain(self, entry: ListedEndpoint | None) -> None:
        if entry is not None and entry.state is EndpointState.DRAINING:
            self.removed_drains[entry.endpoint] = entry

    def record_late_drain(self, entry: ListedEndpoint) -> tuple[ListedEndpoint, ...]:
        """Record that an endpoint drained before it was removed, which is learnt after the removal.

        Returns:
            The entries of the drain and of the removal; none if the entry is no drain, or if the endpoint is
            listed or was never listed.
        """
        is_drain = entry.state is EndpointState.DRAINING
        if not is_drain or entry.endpoint not in self.delisted_at:
            return ()
        self._record_removed_drain(entry)
        return entry, entry._replace(state=EndpointState.GONE)

    def _update_delisting_times(self) -> None:
        for index in range(len(self.names)):
            if index in self.entries:
                self.delisted_at.pop(index, None)
            else:
                self.delisted_at.setdefault(index, self.clock())
                self.addresses.pop(index, None)

    def snapshot(self) -> tuple[ListedEndpoint, ...]:
        """Return all listed endpoints."""
        return tuple(self.entries.values())

    def restored_list(self) -> EndpointsListed:
        """Return the event that tells a new controller the list.

        Endpoints that were removed while they drained, in the last `DRAIN_MEMORY_US`, are in it with both of
        these changes, so that the new controller withdraws them as well.
        """
        earliest_removal = self.clock() - DRAIN_MEMORY_US
        changes: list[ListedEndpoint] = []
        for index, entry in self.removed_drains.items():
            if self.delisted_at[index] >= earliest_removal:
                changes += (entry, entry._replace(state=EndpointState.GONE))
        return EndpointsListed(ListKind.RESTORED, (*self.snapshot(), *changes))
