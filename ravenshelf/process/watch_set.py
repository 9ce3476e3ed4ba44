"""The open watches of the endpoint registry: the current one, attempts to open one, and replaced ones."""

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.http import HttpCall


class WatchSet:
    """The open watches, of which one at most is current and has answered.

    A watch that ends has to be passed to `remove`. Watches that this class closes end with SUPERSEDED and are
    removed before that.

    Attributes:
        current: The watch that answered last or, if there is none, the newest attempt to open one.
        has_answered: Whether the current watch has answered.
        earlier_attempts: Watches that were opened before the current one, and have not answered either.
        former: The watch that answered last before the current one was opened. It is read until the current
            one answers.
        is_former_silent: Whether the former watch is at the registry's present address and was replaced only
            because it was silent. Otherwise it is at a previous address.
        replaced: Watches that have been replaced, and may still bring changes that were written before.
    """

    def __init__(self) -> None:
        self.current: HttpCall | None = None
        self.has_answered = False
        self.earlier_attempts: list[HttpCall] = []
        self.former: HttpCall | None = None
        self.is_former_silent = False
        self.replaced: list[HttpCall] = []

    def calls(self) -> set[HttpCall]:
        """Return all open watches."""
        single_watches = {call for call in (self.current, self.former) if call is not None}
        return {*single_watches, *self.earlier_attempts, *self.replaced}

    def attempts(self) -> list[HttpCall]:
        """Return the watches that have not answered yet."""
        if self.current is None or self.has_answered:
            return list(self.earlier_attempts)
        return [*self.earlier_attempts, self.current]

    def is_attempt_or_current(self, call: HttpCall) -> bool:
        """Return whether a watch is the current one, or an attempt that may become it."""
        return call is self.current or call in self.earlier_attempts

    def add(self, call: HttpCall) -> None:
        """Add an attempt, which becomes the current watch.

        The watch that was current stays open: as the former one if it has answered, else as an attempt.
        """
        if self.current is not None and self.has_answered:
            self.close_former()
            self.former = self.current
            self.is_former_silent = True
        elif self.current is not None:
            self.earlier_attempts.append(self.current)
        self.current = call
        self.has_answered = False

    def begin_move(self) -> None:
        """Make the current watch the former one, because the registry has moved to another address.

        A former watch that answered is kept in place of a current one that has not.
        """
        self._close_earlier_attempts()
        current = self.current
        self.is_former_silent = False
        if current is not None and self.former is not None and not self.has_answered:
            self.close_attempts()
        elif current is not None:
            self.close_former()
            self.former = current
            self.current = None

    def prefer(self, call: HttpCall) -> None:
        """Make an earlier attempt the current watch; the current one becomes an earlier attempt."""
        if call in self.earlier_attempts:
            assert self.current is not None
            self.earlier_attempts.remove(call)
            self.earlier_attempts.append(self.current)
            self.current = call

    def resume_former(self) -> None:
        """Make the former watch the current one again, because it is not silent any more.

        Its next line counts as an answer, because one may be waited for.
        """
        former = self.former
        self.former = None
        self.close_attempts()
        self.current = former
        self.has_answered = False

    def record_answer(self, keep_replaced: bool) -> HttpCall | None:
        """Record that the current watch has answered, and replace the other ones.

        Args:
            keep_replaced: Whether the former watch stays open as a replaced one.

        Returns:
            The former watch if it stays open.
        """
        self.has_answered = True
        self._close_earlier_attempts()
        former = self.former
        if former is None or not keep_replaced:
            self.close_former()
            return None
        self.former = None
        self.replaced.append(former)
        return former

    def remove(self, call: HttpCall) -> None:
        """Remove a watch that has ended; if it was current, the newest earlier attempt becomes current."""
        if call is self.former:
            self.former = None
        elif call in self.replaced:
            self.replaced.remove(call)
        elif call in self.earlier_attempts:
            self.earlier_attempts.remove(call)
        elif call is self.current:
            self.current = self.earlier_attempts.pop() if self.earlier_attempts else None
            self.has_answered = False

    def close_attempts(self) -> None:
        """Close the current watch and the earlier attempts."""
        self._close_earlier_attempts()
        current = self.current
        self.current = None
        if current is not None:
            current.close(ConnectionEnd.SUPERSEDED)

    def close_oldest_attempt(self) -> None:
        """Close the attempt that has waited longest, if another one was opened after it."""
        if self.earlier_attempts:
            self.earlier_attempts.pop(0).close(ConnectionEnd.SUPERSEDED)

    def close_former(self) -> None:
        """Close the former watch."""
        former = self.former
        self.former = None
        if former is not None:
            former.close(ConnectionEnd.SUPERSEDED)

    def close_all(self) -> None:
        """Close all watches."""
        self.close_attempts()
        self.close_former()
        replaced_watches = self.replaced
        self.replaced = []
        for call in replaced_watches:
            call.close(ConnectionEnd.SUPERSEDED)

    def _close_earlier_attempts(self) -> None:
        earlier_attempts = self.earlier_attempts
        self.earlier_attempts = []
        for call in earlier_attempts:
            call.close(ConnectionEnd.SUPERSEDED)
