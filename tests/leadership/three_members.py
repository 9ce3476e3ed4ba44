"""Helper for tests of members: three of them with one clock, ideal disks and a network to partition."""

import random

from ravenshelf.leadership.decisions import LeaseConfiguration, LeaseState, Member

SECOND = 1_000_000
TICK_US = 20_000
COUNT = 3
NEVER_STABLE_US = 10**9  # no shard is handed over to rebalance


class RecordedEffects:
    """Effects of one member, kept for the test."""

    def __init__(self):
        self.messages = []
        self.stored_votes = []
        self.is_voting = False
        self.states = []

    def store_vote(self, *values):
        self.stored_votes.append(values)

    def store_voting(self):
        self.is_voting = True

    def send(self, member, message):
        self.messages.append((member, message))

    def lease_changed(self, shard, state, term, record):
        self.states.append((shard, state))


class ThreeMembers:
    """`partitioned` has the pairs of sender and receiver whose messages are lost."""

    def __init__(self, is_recovering=False, **configuration):
        defaults = {"shards": 2, "stability_period_us": NEVER_STABLE_US}
        self.configuration = LeaseConfiguration(**(defaults | configuration))
        self.now = 0
        self.partitioned = set()
        self.effects = [RecordedEffects() for _ in range(COUNT)]
        self.members = [self.new_member(number, number, is_recovering) for number in range(COUNT)]

    def new_member(self, number, seed, is_recovering):
        rng = random.Random(seed)
        return Member(number, COUNT, self.configuration, {}, self.now, rng, is_recovering)

    def restart_with_empty_disk(self, number, seed):
        self.members[number] = self.new_member(number, seed, is_recovering=True)
        self.effects[number] = RecordedEffects()
        return self.members[number]

    def deliver(self):
        """Delivers messages until none is left."""
        while any(effects.messages for effects in self.effects):
            for sender, effects in enumerate(self.effects):
                messages = effects.messages
                effects.messages = []
                for receiver, message in messages:
                    if (sender, receiver) not in self.partitioned:
                        self.members[receiver].receive(self.now, sender, message, self.effects[receiver])

    def run(self, seconds, paused=()):
        """Time passes for all members but those that are paused."""
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            self.now += TICK_US
            for number, member in enumerate(self.members):
                if number not in paused:
                    member.tick(self.now, self.effects[number])
            self.deliver()
        return self

    def isolate(self, number):
        others = [other for other in range(COUNT) if other != number]
        self.partitioned |= {(number, other) for other in others} | {(other, number) for other in others}

    def holders(self, shard):
        return [
            number
            for number, member in enumerate(self.members)
            if member.claims[shard].state is LeaseState.HELD
        ]

    def holder(self, shard):
        (number,) = self.holders(shard)
        return number

    def permission(self, number, shard=0, seq=0):
        return self.members[number].permission(self.now, shard, seq)

    def write_record(self, number, record, shard=0):
        return self.members[number].write_record(self.now, shard, record, self.effects[number])
