"""Discovery's JSON into entries of the list."""

import json
from collections.abc import Callable

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import EndpointState, ListedEndpoint
from ravenshelf.settings import Settings

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
NEVER_IN_A_NAME = set(" \t\r\n,:=")  # what no order on a stream could name


class UnreadableListError(RavenshelfError):
    """A list or a line of a watch that is none."""


class EndpointListDecoder:
    def __init__(
        self, settings: Settings, endpoint: Callable[[str], int], known: Callable[[str], int | None]
    ):
        """`endpoint` gives a listed name its index, `known` only that of a name that has one."""
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.kinds = {name: n for n, name in enumerate(settings.machine_kinds)}
        self.endpoint, self.known = endpoint, known

    def read(self, text: bytes | str) -> dict:
        try:
            return self.check(json.loads(text))
        except ValueError as why:  # bad JSON or bad UTF-8
            raise UnreadableListError(str(why)) from why

    @staticmethod
    def check(said) -> dict:
        rev = said.get("rev") if isinstance(said, dict) else None
        if not isinstance(rev, int) or isinstance(rev, bool) or not isinstance(said.get("targets"), list):
            raise UnreadableListError("expected an object with rev and targets")
        return said

    def entries(
        self, targets: list
    ) -> tuple[list[ListedEndpoint], dict[int, str], list[tuple[int | None, str]]]:
        """Entries for the module, addresses by index, and what was broken: (index if it can be told, why)."""
        entries, addresses, broken = {}, {}, []
        for target in targets:
            name = target.get("uid") if isinstance(target, dict) else None
            if not isinstance(name, str) or not name or NEVER_IN_A_NAME & set(name):
                broken.append((None, f"no uid in {str(target)[:80]}"))
                continue
            try:
                entry = self._entry(target)
            except (KeyError, TypeError, ValueError, OverflowError) as why:
                broken.append((self.known(name), f"{name}: {type(why).__name__} {why}"))
                continue
            index = self.endpoint(name)
            entries[index] = ListedEndpoint(index, *entry)
            if isinstance(target.get("endpoint"), str):
                addresses[index] = target["endpoint"]
        return list(entries.values()), addresses, broken

    def _entry(self, target: dict) -> tuple[int, int, int, EndpointState, float, int]:
        weight, start = float(target.get("capacity_hint", 1.0)), float(target.get("boot_ms") or 0)
        if not 0 <= weight < float("inf") or not 0 <= start < 1e15:
            raise ValueError(f"capacity_hint {weight}, boot_ms {start}")
        return (
            self.zones[target["az"]],
            self.kinds.get(target.get("model"), 0),
            int(target.get("pod_group") or 0),
            STATES[target["state"]],
            weight,
            round(start * 1000),
        )
