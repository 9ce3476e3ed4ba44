"""Users that sign or encrypt collectd packets.

The password file has lines of the form `user: password`, as collectd's own file.
"""

from ravenshelf.errors import RavenshelfError

# Time, in microseconds, for which the previous password of a user stays valid after a change.
PASSWORD_OVERLAP = 60_000_000


class UsersFileError(RavenshelfError):
    """Error for a password file that cannot be used; its text names the file, the line and the problem."""

    def __init__(self, file: str, problem: str, line: int | None = None) -> None:
        super().__init__(f"{file}: {problem}" if line is None else f"{file}:{line}: {problem}")
        self.file = file
        self.line = line
        self.problem = problem


def parse(text: str, file: str) -> dict[str, bytes]:
    """Parse the text of a password file.

    Args:
        text: The text; empty lines and lines that start with `#` are ignored.
        file: The file's name for error messages.

    Returns:
        The passwords by user name.

    Raises:
        UsersFileError: A line is malformed or names a user a second time.
    """
    passwords: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, colon, password = (word.strip() for word in line.partition(":"))
        if not colon or not name or not password:
            actual_line = "no user or no password" if colon else "no colon"
            raise UsersFileError(file, f"expected `user: password`, found {actual_line}", number)
        if name in passwords:
            raise UsersFileError(file, f"expected each user once, found {name!r} again", number)
        passwords[name] = password.encode()
    return passwords


def load(file: str) -> dict[str, bytes]:
    """Read a password file and return the passwords by user name.

    Raises:
        UsersFileError: The file cannot be read, is not UTF-8 or is malformed.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return parse(stream.read(), file)
    except OSError as error:
        raise UsersFileError(file, str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise UsersFileError(file, "expected text in UTF-8") from error


class Users:
    """Current users and their valid passwords.

    The previous password of a user stays valid for PASSWORD_OVERLAP after a change, so that hosts that do not
    have the new one yet are still accepted. Times are microseconds.
    """

    def __init__(self, current_passwords: dict[str, bytes]) -> None:
        self.current_passwords = current_passwords
        # Previous password of each user, and the time at which its validity ends.
        self.previous_passwords: dict[str, tuple[bytes, int]] = {}

    def update(self, current_passwords: dict[str, bytes], now: int) -> None:
        """Replace the passwords; users that are not among the new ones are rejected at once."""
        previous_passwords = {
            name: (password, valid_until)
            for name, (password, valid_until) in self.previous_passwords.items()
            if valid_until > now and name in current_passwords
        }
        for name, password in self.current_passwords.items():
            if name in current_passwords and current_passwords[name] != password:
                previous_passwords[name] = (password, now + PASSWORD_OVERLAP)
        self.previous_passwords = previous_passwords
        self.current_passwords = current_passwords

    def valid_passwords(self, name: str, now: int) -> list[bytes]:
        """Return the passwords of a user that are valid at `now`, the current one first; none if unknown."""
        passwords = [self.current_passwords[name]] if name in self.current_passwords else []
        if name in self.previous_passwords:
            password, valid_until = self.previous_passwords[name]
            if valid_until > now:
                passwords.append(password)
        return passwords
