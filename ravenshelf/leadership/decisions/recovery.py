"""Recovery of a member whose disk is empty: it votes for nothing until it has read a quorum of the others."""

from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.messages import RecordedVote, StateReply, StateRequest
from ravenshelf.leadership.decisions.output import LeaseOutput
from ravenshelf.leadership.decisions.voter import Voter


class StateRecovery:
    """`is_active`: the disk does not say that this member votes (it is empty, or a recovery did not end)."""

    def __init__(
        self,
        local_member: int,
        members: int,
        quorum: int,
        configuration: LeaseConfiguration,
        voter: Voter,
        is_active: bool,
    ) -> None:
        self.local_member = local_member
        self.members = members
        self.quorum = quorum
        self.configuration = configuration
        self.is_active = is_active
        self._voter = voter
        self._replies: dict[int, list[RecordedVote] | None] = {}

    def request(self, output: LeaseOutput) -> None:
        """Requests the state of all others."""
        for member in range(self.members):
            if member != self.local_member:
                output.send(member, StateRequest())

    def on_request(self, _now: int, member: int, _request: StateRequest, output: LeaseOutput) -> None:
        """Replies with all votes, or that there are none to rely on here either."""
        output.send(member, StateReply(None if self.is_active else self._voter.recorded_votes()))

    def on_reply(self, now: int, member: int, reply: StateReply, output: LeaseOutput) -> None:
        """Votes again once a quorum of the others is read.

        Any quorum that accepted something without this member has a voter among them. Where all others have
        nothing either, this is the first start of the cluster.
        """
        if not self.is_active or member == self.local_member:
            return
        self._replies[member] = reply.votes
        known = [votes for votes in self._replies.values() if votes is not None]
        is_first_start = not any(known) and len(self._replies) == self.members - 1
        if len(known) < self.quorum and not is_first_start:
            return
        for votes in known:
            for recorded in votes:
                self._voter.merge(recorded)
        for recorded in self._voter.recorded_votes():
            self._voter.store(recorded.shard, output)
        output.store_voting()
        self.is_active = False
        self._replies = {}
        self._voter.begin_quiet_period(now)
