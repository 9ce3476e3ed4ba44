"""The users that sign or encrypt collectd packets: `user: password` lines, as in collectd's own file."""

from ravenshelf.errors import RavenshelfError

PASSWORD_OVERLAP = 60_000_000  # microseconds for which a changed password stays valid


class UsersFileError(RavenshelfError):
    """A password file that cannot be used; the text names file, line, what was found and expected."""

    def __init__(self, file: str, problem: str, line: int | None = None) -> None:
        super().__init__(f"{file}: {problem}" if line is None else f"{file}:{line}: {problem}")
        self.file = file
        self.line = line
        self.problem = problem


def parse(text: str, file: str) -> dict[str, bytes]:
    """Return the passwords by user; `file` is named in errors. Raises UsersFileError."""
    passwords: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, colon, password = (word.strip() for word in line.partition(":"))
        if not colon or not name or not password:
            found = "half of it" if colon else "no colon"
            raise UsersFileError(file, f"expected `user: password`, found {found}", number)
        if name in passwords:
            raise UsersFileError(file, f"expected each user once, found {name!r} again", number)
        passwords[name] = password.encode()
    return passwords


def load(file: str) -> dict[str, bytes]:
    """Read a password file; raises UsersFileError."""
    try:
        with open(file, encoding="utf-8") as opened:
            return parse(opened.read(), file)
    except OSError as error:
        raise UsersFileError(file, str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise UsersFileError(file, "expected UTF-8") from error


class Users:
    """The users that are known; a changed password stays valid for a while, until hosts have the new one."""

    def __init__(self, current: dict[str, bytes]) -> None:
        self.current = current
        self.former: dict[str, tuple[bytes, int]] = {}  # password and the time until which it is valid

    def update(self, current: dict[str, bytes], now: int) -> None:
        """Use new passwords; a user who was removed is rejected at once."""
        former = {
            name: (password, valid_until)
            for name, (password, valid_until) in self.former.items()
            if valid_until > now and name in current
        }
        for name, password in self.current.items():
            if name in current and current[name] != password:
                former[name] = (password, now + PASSWORD_OVERLAP)
        self.former = former
        self.current = current

    def passwords(self, name: str, now: int) -> list[bytes]:
        """Return the passwords that are valid for a user, the current one first."""
        valid = [self.current[name]] if name in self.current else []
        if name in self.former:
            password, valid_until = self.former[name]
            if valid_until > now:
                valid.append(password)
        return valid
