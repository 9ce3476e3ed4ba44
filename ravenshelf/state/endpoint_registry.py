"""This server's copy of the endpoint list; names of endpoints become small indices that outlive restarts."""

from collections.abc import Callable

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind

# an index is reassigned no sooner after its endpoint left: evidence about it has faded by then
INDEX_REUSE_DELAY_US = 600_000_000
FORMER_NAMES_LIMIT = 65_536  # names remembered of endpoints whose index was reassigned


class VersionGapError(RavenshelfError):
    """Changes start at a version beyond the one held, so some were missed."""

    def __init__(self, current_version: int, after_version: int):
        super().__init__(f"expected changes that follow version {current_version}, not {after_version}")
        self.current_version = current_version
        self.after_version = after_version


def _ignore_index(index: int) -> None:
    pass


class EndpointRegistry:
    """The endpoint list as this server holds it.

    `clock` gives microseconds. `is_in_use(index)` says whether a table still holds an endpoint that is no
    longer listed. `on_index_reassigned(index)` is called when an index becomes another endpoint's, and
    `on_endpoint_returned(index)` when an endpoint comes back whose former index was reassigned.

    `names` is by index; `entries` holds what the controller was last told of each listed endpoint.
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
        self.updated_at = clock()  # when a list or a change was last taken
        self.names: list[str] = []
        self.index_by_name: dict[str, int] = {}
        self.entries: dict[int, ListedEndpoint] = {}
        self.addresses: dict[int, str] = {}
        self.delisted_at: dict[int, int] = {}  # by index, the one that left first first
        self.former_names: dict[str, None] = {}  # whose index was reassigned, the oldest first

    def index_of(self, name: str) -> int:
        """Return the endpoint's index; a new name gets an index at rest, or the next one."""
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
        self.former_names[former_name] = None
        if len(self.former_names) > FORMER_NAMES_LIMIT:
            del self.former_names[next(iter(self.former_names))]
        self.names[index] = name
        self.on_index_reassigned(index)

    def _reusable_index(self) -> int | None:
        latest = self.clock() - INDEX_REUSE_DELAY_US
        for index, delisted_at in self.delisted_at.items():
            if delisted_at > latest:
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
        """Take a complete list, or changes to it; return what of it is new to the controller, or None.

        A list older than the one held changes nothing. `after_version` is the version that changes start
        from: raises `VersionGapError` where it lies beyond the version held, for then something was missed
        and only a complete list helps.
        """
        is_update = kind is ListKind.UPDATE
        if version < self.version or (is_update and version == self.version and version != 0):
            return None
        if is_update and after_version is not None and after_version > self.version:
            raise VersionGapError(self.version, after_version)
        self.version = version
        self.updated_at = self.clock()
        if not is_update:
            self.entries = {}
        for entry in entries:
            self.entries[entry.endpoint] = entry
            if entry.state is EndpointState.GONE:
                del self.entries[entry.endpoint]
        self.addresses.update(addresses)
        self._note_delisted()
        return EndpointsListed(kind, tuple(entries))

    def _note_delisted(self) -> None:
        for index in range(len(self.names)):
            if index in self.entries:
                self.delisted_at.pop(index, None)
            else:
                self.delisted_at.setdefault(index, self.clock())
                self.addresses.pop(index, None)

    def snapshot(self) -> tuple[ListedEndpoint, ...]:
        """Return all listed endpoints."""
        return tuple(self.entries.values())
