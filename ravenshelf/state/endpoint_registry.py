"""The list of endpoints as this pilot holds it; ids become small indices here, and stay so over restarts."""

from collections.abc import Callable

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind

REST = (
    600_000_000  # an index is given to another endpoint no sooner after its own has gone: evidence has faded
)
FORMER = 65_536  # names remembered of those whose index is another's


class VersionGapError(RavenshelfError):
    """Changes start at a version beyond the one held, so some were missed."""

    def __init__(self, held: int, after: int):
        super().__init__(f"expected changes that follow version {held}, not {after}")
        self.held, self.after = held, after


class EndpointRegistry:
    def __init__(
        self,
        clock: Callable[[], int],
        in_use: Callable[[int], bool],
        given_away: Callable[[int], None] = lambda index: None,
        returned: Callable[[int], None] = lambda index: None,
    ):
        """`given_away(index)`: it is another endpoint's from now on. `returned(index)`: one came back whose index was."""
        self.clock, self.in_use, self.given_away, self.returned = clock, in_use, given_away, returned
        self.former: dict[str, None] = {}  # names whose index is another's, oldest first
        self.taken = clock()  # when a list or a change was last taken
        self.rev, self.names, self.index = 0, [], {}
        self.entries: dict[int, ListedEndpoint] = {}  # what the module was last told of each listed endpoint
        self.addresses: dict[int, str] = {}
        self.left: dict[int, int] = {}  # when an index that is not listed any more left, oldest first

    def endpoint(self, name: str) -> int:
        """The endpoint's index. A new name gets one whose endpoint has long gone, so that they don't grow with time."""
        if name not in self.index:
            rested = self._rested()
            if rested is None:
                rested = len(self.names)
                self.names.append(name)
            else:
                former = self.names[rested]
                del self.index[former], self.left[rested]
                self.former[former] = None
                if len(self.former) > FORMER:
                    del self.former[next(iter(self.former))]
                self.names[rested] = name
                self.given_away(rested)
            self.index[name] = rested
            if name in self.former:
                del self.former[name]
                self.returned(rested)
        return self.index[name]

    def _rested(self) -> int | None:
        before = self.clock() - REST
        for index, at in self.left.items():
            if at > before:
                break
            if not self.in_use(index):
                return index
        return None

    def take(
        self,
        kind: ListKind,
        rev: int,
        entries: list[ListedEndpoint],
        addresses: dict[int, str],
        after: int | None = None,
    ) -> EndpointsListed | None:
        """Take a list, or changes to it; gives what of it is new to the controller, or None.

        A list older than the one held changes nothing. `after` is the version that changes start from: raises
        `VersionGapError` where it lies beyond the version held, for then something was missed and only a
        complete list helps.
        """
        is_update = kind is ListKind.UPDATE
        if rev < self.rev or (is_update and rev == self.rev and rev != 0):
            return None
        if is_update and after is not None and after > self.rev:
            raise VersionGapError(self.rev, after)
        self.rev, self.taken = rev, self.clock()
        if not is_update:
            self.entries = {}
        for entry in entries:
            self.entries[entry.endpoint] = entry
            if entry.state is EndpointState.GONE:
                del self.entries[entry.endpoint]
        self.addresses.update(addresses)
        for index in range(len(self.names)):
            if index in self.entries:
                self.left.pop(index, None)
            else:
                self.left.setdefault(index, self.clock())
                self.addresses.pop(index, None)
        return EndpointsListed(kind, tuple(entries))

    def whole(self) -> tuple[ListedEndpoint, ...]:
        return tuple(self.entries.values())
