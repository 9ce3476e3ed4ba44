"""The list of endpoints as this pilot holds it; ids become small indices here, and stay so over restarts."""


class Listing:
    def __init__(self):
        self.rev, self.names, self.index = 0, [], {}
        self.entries: dict[int, tuple] = {}     # what the module was last told of each listed endpoint
        self.addresses: dict[int, str] = {}

    def endpoint(self, name: str) -> int:
        """The endpoint's index; a name that was never listed gets a new one."""
        if name not in self.index:
            self.index[name] = len(self.names)
            self.names.append(name)
        return self.index[name]

    def take(self, how: str, rev: int, entries: list[tuple], addresses: dict[int, str], after: int | None = None):
        """What of a list or of changes is news: (how, entries) for the module, or None.

        A list older than ours overwrites nothing. `after` is the version that changes start from: where it lies
        beyond ours, something was missed, and only a whole list helps ("gap")."""
        if rev < self.rev or (how == "update" and rev == self.rev and rev != 0):
            return None
        if how == "update" and after is not None and after > self.rev:
            return "gap"
        self.rev = rev
        if how != "update":
            self.entries = {}
        for entry in entries:
            self.entries[entry[0]] = entry
            if entry[4] == "gone":
                del self.entries[entry[0]]
        self.addresses.update(addresses)
        for index in [i for i in self.addresses if i not in self.entries]:
            del self.addresses[index]
        return how, tuple(entries)

    def whole(self) -> tuple:
        return tuple(self.entries.values())
