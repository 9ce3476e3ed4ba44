"""Users of collectd and their passwords: `user: password` a line, as collectd's own file has it. Pure but for `load`."""

from ravenshelf.errors import RavenshelfError

OVERLAP = 60_000_000  # a password that was changed is taken so long beside the new one


class UsersFileError(RavenshelfError):
    """A file of users that can't be used; the text names file, line, what was found, what was expected."""


def read(text: str, file: str) -> dict[str, bytes]:
    out = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, colon, password = line.partition(":")
        name, password = name.strip(), password.strip()
        if not colon or not name or not password:
            raise UsersFileError(
                f"{file}:{number}: expected `user: password`, found {'no colon' if not colon else 'half of it'}"
            )
        if name in out:
            raise UsersFileError(f"{file}:{number}: expected each user once, found {name!r} again")
        out[name] = password.encode()
    return out


def load(file: str) -> dict[str, bytes]:
    try:
        with open(file, encoding="utf-8") as opened:
            return read(opened.read(), file)
    except OSError as why:
        raise UsersFileError(f"{file}: {why.strerror}") from None
    except UnicodeDecodeError:
        raise UsersFileError(f"{file}: expected UTF-8") from None


class Users:
    """Who is known now. A change of a password in service refuses nobody who has yet to learn of it."""

    def __init__(self, known: dict[str, bytes]):
        self.known, self.former = known, {}  # former: user -> (password, until)

    def renew(self, known: dict[str, bytes], now: int) -> None:
        """A user who is gone is gone at once: that is how one is shut out."""
        self.former = {name: kept for name, kept in self.former.items() if kept[1] > now and name in known}
        for name, password in self.known.items():
            if name in known and known[name] != password:
                self.former[name] = (password, now + OVERLAP)
        self.known = known

    def passwords(self, name: str, now: int) -> list[bytes]:
        out = [self.known[name]] if name in self.known else []
        former = self.former.get(name)
        if former is not None and former[1] > now:
            out.append(former[0])
        return out
