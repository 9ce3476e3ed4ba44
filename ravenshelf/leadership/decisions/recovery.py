"""Recovery of a member whose disk is empty: it doesn't vote before it has the votes of a quorum of others."""

from ravenshelf.leadership.decisions.configuration import LeaseConfiguration
from ravenshelf.leadership.decisions.messages import RecordedVote, StateReply, StateRequest
from ravenshelf.leadership.decisions.output import LeaseOutput
from ravenshelf.leadership.decisions.voter import Voter


class StateRecovery:
    """Reads the votes of the other members, and answers their requests for votes.

    `is_active` is True as long as the disk does not say that this member votes: the disk was empty, or an
    earlier recovery did not complete.
    """

    def __init__(
        self,
        local_member: int,
        member_count: int,
        quorum: int,
        configuration: LeaseConfiguration,
        voter: Voter,
        is_active: bool,
    ) -> None:
        self.local_member = local_member
        self.member_count = member_count
        self.quorum = quorum
        self.configuration = configuration
        self.is_active = is_active
        self._voter = voter
        self._replies: dict[int, list[RecordedVote] | None] = {}

    def request(self, output: LeaseOutput) -> None:
        """Request the votes of all other members."""
        for member in range(self.member_count):
            if member != self.local_member:
                output.send(member, StateRequest())

    def on_request(self, _now: int, member: int, _request: StateRequest, output: LeaseOutput) -> None:
        """Reply with all votes, or with None while this member is recovering itself."""
        output.send(member, StateReply(None if self.is_active else self._voter.recorded_votes()))

    def on_reply(self, now: int, member: int, reply: StateReply, output: LeaseOutput) -> None:
        """Adopt the votes of a quorum of the other members, and end the recovery.

        Every quorum that accepted a promise or a record without this member has a voter in common with the
        quorum that is read here, so no promise or record is missed. If all other members reply and
        none of them has any vote, this is the first start of the cluster, and the recovery ends as well.
        """
        if not self.is_active or member == self.local_member:
            return
        self._replies[member] = reply.votes
        available_votes = [votes for votes in self._replies.values() if votes is not None]
        is_first_start = not any(available_votes) and len(self._replies) == self.member_count - 1
        if len(available_votes) < self.quorum and not is_first_start:
            return
        for votes in available_votes:
            for recorded_vote in votes:
                self._voter.merge(recorded_vote)
        for recorded_vote in self._voter.recorded_votes():
            self._voter.store(recorded_vote.shard, output)
        output.store_voting()
        self.is_active = False
        self._replies = {}
        self._voter.begin_quiet_period(now)
