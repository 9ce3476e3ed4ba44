"""A checker of recorded histories: which commands members sent, and which of them proxies applied.

It checks the rules that several members that control the same fleet have to obey. The times of events are
seconds of true time, which no member can read.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, TypeAlias

from ravenshelf.leadership.decisions import Permission


class BindProxy(NamedTuple):
    """The command that binds a proxy by a complete table."""


class GrantRetry(NamedTuple):
    """The command that grants one retry of the request with a key."""

    key: str


class EjectEndpoint(NamedTuple):
    """The command that ejects an endpoint because a version of the endpoint list drains it."""

    endpoint: str
    list_version: int


class ReadmitEndpoint(NamedTuple):
    """The command that readmits an endpoint according to a version of the endpoint list."""

    endpoint: str
    list_version: int


class SetAdmissionLevel(NamedTuple):
    """The command that sets the admission level of a traffic group."""

    group: str
    level: float


Command: TypeAlias = BindProxy | GrantRetry | EjectEndpoint | ReadmitEndpoint | SetAdmissionLevel


class CommandSent(NamedTuple):
    """A member has sent a command with a permission."""

    at: float
    member: int
    shard: int
    term: int
    permission: Permission
    command: Command


class CommandApplied(NamedTuple):
    """A proxy has applied a command."""

    at: float
    proxy: int
    member: int
    term: int
    command: Command


class LeaseAcquired(NamedTuple):
    """A member has acquired a shard's lease."""

    at: float
    member: int
    shard: int


class MemberStopped(NamedTuple):
    """A member was killed."""

    at: float
    member: int


class FaultsEnded(NamedTuple):
    """From this time on all members are alive and connected."""

    at: float


HistoryEvent: TypeAlias = CommandSent | CommandApplied | LeaseAcquired | MemberStopped | FaultsEnded


class Rule(Enum):
    """A rule that a history must not break."""

    SINGLE_LEASE_HOLDER = "a shard has one lease holder at a time"
    TERMS_ASCEND = "a proxy obeys terms in ascending order"
    RETRY_ONCE = "a retry is granted once"
    DRAIN_KEPT = "a drained endpoint is not readmitted by an older list"
    ADMISSION_STEPS = "a takeover raises an admission level by a step at most"
    TAKEOVER_IN_TIME = "a shard is taken over in time"


class Violation(NamedTuple):
    """A broken rule, and the time and circumstances."""

    rule: Rule
    at: float
    details: str


@dataclass(frozen=True, slots=True)
class MemberTerm:
    """The highest term so far, and the member to which it belongs."""

    term: int
    member: int

    def is_contradicted_by(self, term: int, member: int) -> bool:
        """Return whether a command is of an earlier term, or of the same term but by another member."""
        return term < self.term or (term == self.term and member != self.member)


class HistoryChecker:
    """A checker that reads the events of a history in order and collects the `violations` of rules."""

    def __init__(self, admission_step_limit: float) -> None:
        self.admission_step_limit = admission_step_limit
        self.violations: list[Violation] = []
        # The highest term that was granted, by shard.
        self._granted_terms: dict[int, MemberTerm] = {}
        # The highest term that was applied, by proxy.
        self._applied_terms: dict[int, MemberTerm] = {}
        # The time and the member of the grant, by request key.
        self._retries: dict[str, tuple[float, int]] = {}
        # The version of the endpoint list that drained the endpoint, by proxy and endpoint.
        self._drain_versions: dict[tuple[int, str], int] = {}
        # The term and the admission level, by proxy and traffic group.
        self._levels: dict[tuple[int, str], tuple[int, float]] = {}
        self._holders: dict[int, int | None] = {}  # the lease holder or None, by shard
        self._vacant_since: dict[int, float] = {}  # the time when the holder was lost, by shard
        self._faults_ended_at: float | None = None
        self._last_event_at = 0.0
        self._handlers: dict[type, Callable[[Any], None]] = {
            CommandSent: self._on_command_sent,
            CommandApplied: self._on_command_applied,
            LeaseAcquired: self._on_lease_acquired,
            MemberStopped: self._on_member_stopped,
            FaultsEnded: self._on_faults_ended,
        }

    def add(self, event: HistoryEvent) -> None:
        """Check the next event."""
        self._last_event_at = event.at
        self._handlers[type(event)](event)

    def finish(self, takeover_limit_s: float) -> None:
        """End the history: report each shard that has been without a lease holder for too long.

        Args:
            takeover_limit_s: Seconds that a shard may be without a holder once all faults have ended.
        """
        if self._faults_ended_at is None:
            return
        for shard, vacant_since in self._vacant_since.items():
            if self._last_event_at - max(vacant_since, self._faults_ended_at) > takeover_limit_s:
                details = f"shard {shard} without a lease holder since {vacant_since:.2f}"
                self._add_violation(Rule.TAKEOVER_IN_TIME, self._last_event_at, details)

    def _add_violation(self, rule: Rule, at: float, details: str) -> None:
        self.violations.append(Violation(rule, at, details))

    def _on_command_sent(self, event: CommandSent) -> None:
        if event.permission is Permission.FULL:
            granted_term = self._granted_terms.get(event.shard)
            if granted_term is not None and granted_term.is_contradicted_by(event.term, event.member):
                details = f"shard {event.shard}: {event.member} in term {event.term} after {granted_term}"
                self._add_violation(Rule.SINGLE_LEASE_HOLDER, event.at, details)
            else:
                self._granted_terms[event.shard] = MemberTerm(event.term, event.member)
        if isinstance(event.command, GrantRetry):
            key = event.command.key
            if key in self._retries:
                details = f"{key} by {event.member}, before by {self._retries[key]}"
                self._add_violation(Rule.RETRY_ONCE, event.at, details)
            self._retries[key] = (event.at, event.member)

    def _on_command_applied(self, event: CommandApplied) -> None:
        applied_term = self._applied_terms.get(event.proxy, MemberTerm(0, event.member))
        if applied_term.is_contradicted_by(event.term, event.member):
            details = f"proxy {event.proxy}: {event.member} in term {event.term} after {applied_term}"
            self._add_violation(Rule.TERMS_ASCEND, event.at, details)
        if (event.term, event.member) > (applied_term.term, applied_term.member):
            applied_term = MemberTerm(event.term, event.member)
        self._applied_terms[event.proxy] = applied_term
        if isinstance(event.command, EjectEndpoint):
            self._on_ejected(event.proxy, event.command)
        elif isinstance(event.command, ReadmitEndpoint):
            self._on_readmitted(event, event.command)
        elif isinstance(event.command, SetAdmissionLevel):
            self._on_level(event, event.command)

    def _on_ejected(self, proxy: int, command: EjectEndpoint) -> None:
        key = (proxy, command.endpoint)
        self._drain_versions[key] = max(command.list_version, self._drain_versions.get(key, -1))

    def _on_readmitted(self, event: CommandApplied, command: ReadmitEndpoint) -> None:
        drain_version = self._drain_versions.pop((event.proxy, command.endpoint), None)
        if drain_version is not None and command.list_version <= drain_version:
            details = (
                f"proxy {event.proxy}: {command.endpoint} readmitted by list {command.list_version}, "
                f"drained by {drain_version}"
            )
            self._add_violation(Rule.DRAIN_KEPT, event.at, details)

    def _on_level(self, event: CommandApplied, command: SetAdmissionLevel) -> None:
        previous_level = self._levels.get((event.proxy, command.group))
        if previous_level is not None:
            term, level = previous_level
            if term != event.term and command.level > level * self.admission_step_limit:
                details = f"proxy {event.proxy}: {command.group} from {level:g} to {command.level:g}"
                self._add_violation(Rule.ADMISSION_STEPS, event.at, details)
        self._levels[event.proxy, command.group] = (event.term, command.level)

    def _on_lease_acquired(self, event: LeaseAcquired) -> None:
        self._holders[event.shard] = event.member
        self._vacant_since.pop(event.shard, None)

    def _on_member_stopped(self, event: MemberStopped) -> None:
        for shard, member in self._holders.items():
            if member == event.member:
                self._holders[shard] = None
                self._vacant_since.setdefault(shard, event.at)

    def _on_faults_ended(self, event: FaultsEnded) -> None:
        self._faults_ended_at = event.at


def check(
    events: Iterable[HistoryEvent], takeover_limit_s: float, admission_step_limit: float = 2.0
) -> list[Violation]:
    """Return the violations of rules in a history.

    Args:
        events: The history.
        takeover_limit_s: Seconds within which every shard has a lease holder once all faults have ended.
        admission_step_limit: The factor by which an admission level may rise at a takeover.
    """
    checker = HistoryChecker(admission_step_limit)
    for event in events:
        checker.add(event)
    checker.finish(takeover_limit_s)
    return checker.violations


def takeover_times(events: Iterable[HistoryEvent]) -> list[float]:
    """Return the seconds from each stop of a member to the next lease holder, for each shard that it held."""
    holders: dict[int, int] = {}
    stopped_at: dict[int, float] = {}  # the time when the holder was stopped, by shard
    times = []
    for event in events:
        if isinstance(event, LeaseAcquired):
            if event.shard in stopped_at:
                times.append(event.at - stopped_at.pop(event.shard))
            holders[event.shard] = event.member
        elif isinstance(event, MemberStopped):
            for shard, member in holders.items():
                if member == event.member:
                    stopped_at.setdefault(shard, event.at)
    return times
