"""Tests of single decision modules of the distribution, without a network."""

import random
from collections import Counter
from itertools import count

import pytest

from ravenshelf.distribution.decisions.aggregation import Aggregator
from ravenshelf.distribution.decisions.allowance import largest_share, received_shares
from ravenshelf.distribution.decisions.backoff import Backoff, TokenBucket
from ravenshelf.distribution.decisions.claims import claim_entry, read_claims, service_of_topic
from ravenshelf.distribution.decisions.client import (
    ConnectionState,
    Dial,
    Disconnect,
    Send,
    SubscriptionClient,
    TopicChanged,
)
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.fallback import LAST_TABLE_VALIDITY_US, OwnerReachability, TableSource
from ravenshelf.distribution.decisions.ownership import (
    Claim,
    OwnershipView,
    PublicationLease,
    replica_controllers,
    shard_of_service,
)
from ravenshelf.distribution.decisions.planner import ServicePlanner, read_endpoints, read_table
from ravenshelf.distribution.decisions.publication import FLUSH_INTERVAL_US, Publication
from ravenshelf.distribution.decisions.relay import Relay
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import SNAPSHOT_PART_ENTRIES, Topic, UpdateOutcome
from ravenshelf.distribution.decisions.tree import candidate_parents, plan_relay_levels
from ravenshelf.distribution.messages import (
    NEVER,
    Delta,
    EndpointEntry,
    EndpointLoad,
    GroupDemand,
    Heartbeat,
    MalformedMessageError,
    Resync,
    Setting,
    Snapshot,
    Subscribe,
    TableLine,
    Unsubscribe,
    Version,
    ZoneLoadReport,
    decode,
    encode,
)
from ravenshelf.policy.spill_solver import solve_spill
from ravenshelf.settings import decode_settings
from ravenshelf.time_units import SECOND

NOW = 1000 * SECOND
FIRST_VALUE, SECOND_VALUE = Setting("1"), Setting("2")


def version(epoch: int, sequence: int) -> Version:
    return Version(epoch, sequence)


def make_topic(epoch: int, sequence: int, **entries) -> Topic:
    topic = Topic("t")
    topic.replace(version(epoch, sequence), dict(entries))
    return topic


def make_delta(base_version: Version, new_version: Version, **changes) -> Delta:
    return Delta("t", base_version, new_version, changes)


@pytest.mark.parametrize(
    "message",
    [
        Subscribe("t", NEVER),
        Unsubscribe("t"),
        Snapshot("t", version(1, 2), 0, 1, {"t:a": TableLine(1.5, 0.2)}),
        Delta("t", NEVER, version(1, 1), {"e:a": EndpointEntry(3, True, 2.0, 5), "c:x": None}),
        Heartbeat(2**64 - 1),
        Resync({"t": version(4, 5)}),
        ZoneLoadReport("s", 1, 7, "r", 8, {"a": EndpointLoad(3, 1, 9)}, {0: GroupDemand(4)}),
    ],
    ids=lambda message: type(message).__name__,
)
def test_decoding_an_encoded_message_gives_the_same_message(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00", b"\x93\x01", encode(Subscribe("t", NEVER))[:-1], b"\xc1" * 9],
    ids=["empty", "not an array", "truncated array", "truncated message", "reserved type byte"],
)
def test_malformed_messages_are_rejected(data):
    with pytest.raises(MalformedMessageError):
        decode(data)


@pytest.mark.parametrize(
    "message, outcome, entries",
    [
        (
            make_delta(version(2, 3), version(2, 4), a=SECOND_VALUE),
            UpdateOutcome.APPLIED,
            {"a": SECOND_VALUE},
        ),
        (
            make_delta(version(2, 1), version(2, 4), a=SECOND_VALUE),
            UpdateOutcome.APPLIED,
            {"a": SECOND_VALUE},
        ),
        (make_delta(version(2, 3), version(2, 4), a=None), UpdateOutcome.APPLIED, {}),
        (
            make_delta(version(2, 2), version(2, 3), a=SECOND_VALUE),
            UpdateOutcome.DUPLICATE,
            {"a": FIRST_VALUE},
        ),
        (make_delta(version(2, 4), version(2, 5), a=SECOND_VALUE), UpdateOutcome.GAP, {"a": FIRST_VALUE}),
        (
            make_delta(version(1, 8), version(1, 9), a=SECOND_VALUE),
            UpdateOutcome.STALE_EPOCH,
            {"a": FIRST_VALUE},
        ),
        (
            make_delta(version(2, 3), version(3, 1), a=SECOND_VALUE),
            UpdateOutcome.APPLIED,
            {"a": SECOND_VALUE},
        ),
        (make_delta(version(2, 2), version(3, 1), a=SECOND_VALUE), UpdateOutcome.GAP, {"a": FIRST_VALUE}),
        (make_delta(version(2, 4), version(3, 1), a=SECOND_VALUE), UpdateOutcome.GAP, {"a": FIRST_VALUE}),
        (
            Snapshot("t", version(2, 3), 0, 1, {"a": SECOND_VALUE}),
            UpdateOutcome.DUPLICATE,
            {"a": FIRST_VALUE},
        ),
        (
            Snapshot("t", version(1, 99), 0, 1, {"a": SECOND_VALUE}),
            UpdateOutcome.STALE_EPOCH,
            {"a": FIRST_VALUE},
        ),
        (Snapshot("t", version(3, 1), 0, 1, {"b": SECOND_VALUE}), UpdateOutcome.APPLIED, {"b": SECOND_VALUE}),
        (
            Snapshot("t", version(3, 1), 0, 2, {"b": SECOND_VALUE}),
            UpdateOutcome.INCOMPLETE,
            {"a": FIRST_VALUE},
        ),
    ],
    ids=[
        "the next delta",
        "a delta from an earlier version",
        "a delta that removes a key",
        "a repeated delta",
        "a delta after a gap",
        "a delta of an older epoch",
        "a new epoch's delta from the held version",
        "a new epoch's delta from an older version",
        "a new epoch's delta from a newer version",
        "a snapshot of the held version",
        "a snapshot of an older epoch",
        "a snapshot of a newer epoch",
        "the first of two parts of a snapshot",
    ],
)
def test_an_update_is_applied_only_if_it_is_newer_and_covers_all_changes(message, outcome, entries):
    topic = make_topic(2, 3, a=FIRST_VALUE)
    assert topic.receive(message) is outcome and topic.entries == entries
    assert topic.version == (message.version if outcome is UpdateOutcome.APPLIED else version(2, 3))


def test_parts_of_a_discarded_snapshot_are_not_combined_with_later_parts():
    source = make_topic(1, 5, **{f"k{n}": FIRST_VALUE for n in range(3 * SNAPSHOT_PART_ENTRIES)})
    first_part, second_part, third_part = source.snapshot()
    topic = Topic("t")
    assert topic.receive(first_part) is UpdateOutcome.INCOMPLETE and not topic.entries
    topic.discard_partial_snapshot()
    assert (
        topic.receive(second_part) is UpdateOutcome.INCOMPLETE
        and topic.receive(third_part) is UpdateOutcome.INCOMPLETE
    )
    assert topic.receive(first_part) is UpdateOutcome.APPLIED and topic.entries == source.entries


def test_parts_of_an_older_snapshot_are_ignored_during_a_newer_one():
    older_topic, newer_topic = (
        make_topic(1, 5, **{f"k{n}": FIRST_VALUE for n in range(2 * SNAPSHOT_PART_ENTRIES)}),
        make_topic(1, 6, **{f"k{n}": SECOND_VALUE for n in range(2 * SNAPSHOT_PART_ENTRIES)}),
    )
    topic = Topic("t")
    topic.receive(older_topic.snapshot()[0])
    topic.receive(newer_topic.snapshot()[0])
    assert topic.receive(older_topic.snapshot()[1]) is UpdateOutcome.DUPLICATE
    assert (
        topic.receive(newer_topic.snapshot()[1]) is UpdateOutcome.APPLIED
        and topic.entries == newer_topic.entries
    )


def test_late_subscribers_get_a_delta_if_the_history_covers_it_and_otherwise_a_snapshot():
    topic = make_topic(1, 1, **{f"k{n}": FIRST_VALUE for n in range(40)})
    for sequence in range(2, 60):
        topic.apply(make_delta(version(1, sequence - 1), version(1, sequence), k3=Setting(str(sequence))))
    updates = topic.updates_since(version(1, 50))
    assert updates == [Delta("t", version(1, 50), version(1, 59), {"k3": Setting("59")})]
    assert isinstance(topic.updates_since(version(1, 2))[0], Snapshot)
    assert topic.updates_since(version(1, 59)) == [] == topic.updates_since(version(2, 1))


def test_three_hundred_changes_in_a_second_are_published_as_at_most_ten_deltas():
    publication, flushed_deltas = Publication(Topic("t"), 1), 0
    publication.flush()
    for number in range(300):
        now = NOW + number * SECOND // 300
        if publication.due_at is not None and publication.due_at <= now:
            flushed_deltas += len(publication.flush().changes) > 0
        publication.put(now, f"k{number % 20}", Setting(str(number)))
    assert flushed_deltas <= SECOND // FLUSH_INTERVAL_US and len(publication.topic.entries) == 20


def test_a_change_that_is_reverted_before_the_flush_is_not_published():
    publication = Publication(make_topic(1, 4, a=FIRST_VALUE), 2)
    publication.put(NOW, "a", SECOND_VALUE)
    publication.put(NOW, "a", FIRST_VALUE)
    assert publication.flush() == Delta("t", version(1, 4), version(2, 1), {})


def test_an_epoch_that_is_not_later_is_rejected():
    with pytest.raises(ValueError, match="topic t: expected an epoch later than 3, found 3"):
        Publication(make_topic(3, 1), 3)


class ServedTopic:
    """A distributor that serves one topic to subscribers."""

    def __init__(self, topic: Topic, **limits):
        self.topic = topic
        self.distributor = Distributor({"t": topic}, DistributorLimits(**limits))

    def subscribe(self, name: str, held_version: Version = NEVER) -> None:
        assert self.distributor.add_subscriber(NOW, name)
        self.distributor.receive(name, Subscribe("t", held_version))

    def pull_messages(self, name: str, byte_limit: int = 10**6, now: int = NOW) -> list:
        return [encoded_message.message for encoded_message in self.distributor.pull(now, name, byte_limit)]

    def change_entries(self, **changes) -> list[str]:
        held_version = self.topic.version
        self.topic.apply(
            make_delta(held_version, version(held_version.epoch, held_version.sequence + 1), **changes)
        )
        return list(self.distributor.topic_changed("t"))


def test_a_slow_subscriber_gets_one_delta_for_many_changes_and_delays_no_other():
    served_topic = ServedTopic(make_topic(1, 1, **{f"k{number}": FIRST_VALUE for number in range(80)}))
    for name in ("slow", "fast"):
        served_topic.subscribe(name, version(1, 1))
    for number in range(30):
        assert set(served_topic.change_entries(k1=Setting(str(number)))) == {"slow", "fast"}
        assert served_topic.pull_messages("fast") == [
            make_delta(version(1, number + 1), version(1, number + 2), k1=Setting(str(number)))
        ]
    assert served_topic.pull_messages("slow") == [make_delta(version(1, 1), version(1, 31), k1=Setting("29"))]


def test_snapshots_wait_for_their_budget_while_deltas_are_sent():
    topic = make_topic(1, 1, **{f"k{n}": Setting("x" * 100) for n in range(100)})
    snapshot_size = sum(len(encode(part)) for part in topic.snapshot())
    served_topic = ServedTopic(
        topic, snapshot_bytes_per_second=snapshot_size, snapshot_burst_bytes=snapshot_size
    )
    for name in ("first", "second"):
        served_topic.subscribe(name)
    served_topic.subscribe("current", version(1, 1))
    assert len(served_topic.pull_messages("first")) == 1 and served_topic.pull_messages("second") == []
    served_topic.change_entries(k1=FIRST_VALUE)
    assert len(served_topic.pull_messages("current")) == 1
    retry_at = served_topic.distributor.due_at(NOW, "second")
    assert retry_at > NOW
    # The first message is a heartbeat.
    assert served_topic.pull_messages("second", now=NOW + 2 * SECOND)[1:] == topic.snapshot()


def test_a_subscriber_is_never_sent_an_older_version():
    served_topic = ServedTopic(make_topic(2, 5, a=FIRST_VALUE))
    served_topic.subscribe("ahead", version(2, 9))
    served_topic.subscribe("later epoch", version(3, 1))
    assert served_topic.pull_messages("ahead") == [] == served_topic.pull_messages("later epoch")


def test_subscribers_above_the_limit_are_rejected_and_a_name_is_counted_once():
    distributor = Distributor({}, DistributorLimits(max_subscribers=2))
    assert distributor.add_subscriber(NOW, "a") and distributor.add_subscriber(NOW, "b")
    assert not distributor.add_subscriber(NOW, "c") and distributor.add_subscriber(NOW, "a")


class ConnectedClient:
    """A client, and the distributor to which it is connected; messages are delivered by hand."""

    def __init__(self, topic: Topic, parents=("p0", "p1")):
        self.served_topic = ServedTopic(topic)
        self.client = SubscriptionClient(parents, {}, random.Random(1), NOW)
        self.client.subscribe("t")
        self.now = NOW

    def connect(self) -> None:
        self.now = max(self.now, self.client.due_at())
        assert isinstance(self.client.tick(self.now)[-1], Dial)
        assert self.served_topic.distributor.add_subscriber(self.now, "child")
        self.perform_sends(self.client.connection_opened(self.now))

    def perform_sends(self, actions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.served_topic.distributor.receive("child", action.message)

    def deliver(self, *lost_indices: int, is_repeated: bool = False, is_reversed: bool = False) -> None:
        """Deliver the parent's pending messages, except those with the given indices."""
        messages = self.served_topic.pull_messages("child", now=self.now)
        messages = [message for index, message in enumerate(messages) if index not in lost_indices]
        for message in (
            (reversed(messages) if is_reversed else messages)
            if not is_repeated
            else [m for m in messages for _ in (0, 1)]
        ):
            self.perform_sends(self.client.receive(self.now, message))

    @property
    def entries(self) -> dict:
        return self.client.topics["t"].entries


def test_a_lost_delta_is_detected_by_the_next_one_and_requested_again():
    receiver = ConnectedClient(make_topic(1, 1, a=FIRST_VALUE, b=FIRST_VALUE))
    receiver.connect()
    receiver.deliver()
    receiver.served_topic.change_entries(a=SECOND_VALUE)
    receiver.deliver(0)
    receiver.served_topic.change_entries(b=SECOND_VALUE)
    receiver.deliver()  # The client detects a gap, and subscribes again with the version that it holds.
    receiver.deliver()
    assert receiver.entries == {"a": SECOND_VALUE, "b": SECOND_VALUE} and receiver.client.resyncs == 1


def test_a_lost_delta_with_nothing_after_it_is_detected_by_the_digests():
    receiver = ConnectedClient(make_topic(1, 1, a=FIRST_VALUE))
    receiver.connect()
    receiver.deliver()
    receiver.served_topic.change_entries(a=SECOND_VALUE)
    receiver.deliver(0)
    for _ in range(3):
        receiver.now += SECOND
        receiver.deliver()
    assert receiver.entries == {"a": SECOND_VALUE} and receiver.client.resyncs == 1


@pytest.mark.parametrize(
    "delivery", [{"is_repeated": True}, {"is_reversed": True}], ids=["repeated", "reordered"]
)
def test_repeated_and_reordered_messages_lead_to_the_same_state(delivery):
    receiver = ConnectedClient(
        make_topic(1, 1, **{f"k{n}": FIRST_VALUE for n in range(2 * SNAPSHOT_PART_ENTRIES)})
    )
    receiver.connect()
    receiver.deliver(**delivery)
    receiver.served_topic.change_entries(k1=SECOND_VALUE)
    for _ in range(4):
        receiver.now += SECOND
        receiver.deliver(**delivery)
    assert receiver.entries == receiver.served_topic.topic.entries


def test_a_snapshot_cut_off_by_a_lost_parent_is_received_from_another_parent():
    topic = make_topic(1, 1, **{f"k{n}": FIRST_VALUE for n in range(3 * SNAPSHOT_PART_ENTRIES)})
    receiver = ConnectedClient(topic)
    receiver.connect()
    for message in receiver.served_topic.pull_messages("child", byte_limit=1):
        receiver.client.receive(receiver.now, message)
    assert receiver.entries == {}
    receiver.client.connection_lost(receiver.now)
    receiver.served_topic.distributor.remove_subscriber("child")
    assert receiver.client.parent == "p1"
    receiver.connect()
    receiver.deliver()
    assert receiver.entries == topic.entries


def test_silent_parents_and_unanswered_dials_time_out():
    client = SubscriptionClient(["p0", "p1"], {}, random.Random(1), NOW)
    assert client.tick(NOW) == [Dial("p0")]
    client.connection_opened(NOW)
    assert client.tick(NOW + 2 * SECOND) == []
    assert client.tick(NOW + 3 * SECOND)[0] == Disconnect()
    actions = client.tick(client.due_at())
    assert actions == [Dial("p1")] and client.state is ConnectionState.DIALLING
    assert client.tick(client.due_at())[0] == Disconnect() and client.parent == "p0"


def test_dials_after_the_loss_of_a_common_parent_are_spread_by_backoff():
    clients = [SubscriptionClient(["p"], {}, random.Random(n), NOW) for n in range(2000)]
    for client in clients:
        client.tick(NOW)
        client.connection_opened(NOW)
        client.connection_lost(NOW)
    delays = sorted(client.due_at() - NOW for client in clients)
    assert delays[0] < 5_000 and delays[-1] > 450_000
    largest_count = max(
        sum(start <= delay < start + 50_000 for delay in delays) for start in range(0, 500_000, 10_000)
    )
    assert largest_count < 0.15 * len(clients)
    backoff = Backoff(random.Random(1))
    assert max(backoff.next_delay() for _ in range(40)) <= 2 * SECOND
    assert sum(backoff.next_delay() for _ in range(100)) / 100 > 0.7 * SECOND


def test_the_preferred_parent_is_dialled_again_after_one_to_three_minutes():
    client = SubscriptionClient(["p0", "p1"], {}, random.Random(1), NOW)
    client.tick(NOW)
    client.connection_lost(NOW)
    now = client.due_at()
    client.tick(now)
    client.connection_opened(now)
    for second in count(1):
        client.receive(now + second * SECOND, Heartbeat(client.held_versions.value))
        actions = client.tick(now + second * SECOND)
        if actions:
            break
    assert 60 <= second <= 181 and actions == [Disconnect(), Dial("p0")]


def test_the_bucket_grants_more_than_its_burst_only_when_full_and_refills_afterwards():
    bucket = TokenBucket(100.0, 200.0)
    assert bucket.try_consume(NOW, 500) and not bucket.try_consume(NOW + 2 * SECOND, 1)
    assert bucket.ready_at(NOW + 2 * SECOND, 1) > NOW + 2 * SECOND
    assert bucket.try_consume(NOW + 4 * SECOND, 1)


def test_a_claim_of_an_earlier_epoch_is_ignored():
    view = OwnershipView()
    assert view.update("s", Claim("b", 7))
    assert not view.update("s", Claim("a", 6)) and view.claim("s") == Claim("b", 7)
    assert view.update("s", Claim("a", 8))
    key, entry = claim_entry("s", 8)
    assert list(read_claims("a", {key: entry, "junk": FIRST_VALUE})) == [("s", Claim("a", 8))]


def test_a_released_service_is_vacant_until_it_is_claimed_again():
    view = OwnershipView()
    assert view.replace_claims("a", {"s": Claim("a", 3), "t": Claim("a", 3)}) == {"s", "t"}
    assert view.replace_claims("a", {"t": Claim("a", 3)}) == {"s"} and view.claim("s") is None
    assert view.replace_claims("a", {"t": Claim("a", 3)}) == set()
    assert view.replace_claims("b", {"s": Claim("b", 2)}) == set() and view.claim("s") is None
    assert view.replace_claims("a", {"s": Claim("a", 3), "t": Claim("a", 3)}) == {"s"} and view.claim(
        "s"
    ) == Claim("a", 3)
    assert view.replace_claims("a", {"s": Claim("a", 4), "t": Claim("a", 3)}) == set() and view.claim(
        "s"
    ) == Claim("a", 4)


def test_services_spread_evenly_and_only_those_of_a_lost_owner_migrate():
    weights = dict.fromkeys(range(30), 1.0)
    shards = [shard_of_service(f"service-{n}", 256) for n in range(1200)]
    assert max(shards.count(shard) for shard in set(shards)) <= 16
    replicas = replica_controllers(5, 3, weights)
    assert len(replicas) == 2 and 3 not in replicas
    remaining_weights = {member: weight for member, weight in weights.items() if member != replicas[1]}
    assert replica_controllers(5, 3, remaining_weights)[0] == replicas[0]


def test_an_owner_whose_lease_has_expired_publishes_nothing():
    owner = ServiceOwner("a", 1, 8, lambda topic: {"c:x": FIRST_VALUE}, [], random.Random(1), NOW)
    owner.acquire(NOW, "s", PublicationLease(4, NOW + 2 * SECOND))
    owner.distributor.add_subscriber(NOW, "relay")
    owner.subscriber_message_received(NOW, "relay", Subscribe("s@0", NEVER))
    resumed_at = NOW + 60 * SECOND
    assert all(not service_of_topic(topic) for topic in owner.publish(resumed_at)[0])
    assert owner.due_at(resumed_at) is None and owner.topics["s@0"].version == NEVER
    owner.owned_services["s"].renew(resumed_at + SECOND)
    assert owner.publish(resumed_at)[0] == ["s@0"] and owner.topics["s@0"].version == version(4, 1)


def test_a_topic_subscribed_to_before_the_lease_is_granted_is_published_with_it():
    owner = ServiceOwner("a", 1, 8, lambda topic: {"c:x": FIRST_VALUE}, [], random.Random(1), NOW)
    owner.distributor.add_subscriber(NOW, "relay")
    owner.subscriber_message_received(NOW, "relay", Subscribe("s@0", version(1, 2)))
    owner.acquire(NOW, "s", PublicationLease(2, NOW + SECOND))
    assert "s@0" in owner.publish(NOW + 100_000)[0] and owner.topics["s@0"].version == version(2, 1)


def test_a_service_without_subscribers_is_not_published():
    requested_topics = []
    owner = ServiceOwner(
        "a", 1, 8, lambda topic: requested_topics.append(topic) or {}, [], random.Random(1), NOW
    )
    owner.acquire(NOW, "s", PublicationLease(1, NOW + 100 * SECOND))
    for second in range(50):
        owner.refresh(NOW + second * SECOND, "s@0")
        owner.publish(NOW + second * SECOND)
    assert requested_topics == [] and all(not service_of_topic(topic) for topic in owner.topics)


@pytest.mark.parametrize(
    "server_count, fan_out", [(0, 8), (1, 8), (64, 128), (65, 128), (18_000, 128), (18_000, 8), (3, 2)]
)
def test_at_most_half_of_the_fan_out_of_a_relay_is_planned(server_count, fan_out):
    relay_levels = plan_relay_levels(server_count, fan_out)
    child_count = server_count
    for level in reversed(relay_levels):
        parents = [candidate_parents(index, child_count, level) for index in range(child_count)]
        preferred_counts = Counter(names[0] for names in parents)
        assert max(preferred_counts.values(), default=0) <= max(1, fan_out // 2)
        assert all(len(set(names)) == len(names) for names in parents)
        child_count = len(level.names)


@pytest.mark.parametrize("server_count, fan_out", [(-1, 8), (5, 1)])
def test_an_impossible_tree_is_rejected(server_count, fan_out):
    with pytest.raises(ValueError, match="expected 0 or more servers and a fan-out of 2 or more"):
        plan_relay_levels(server_count, fan_out)


def make_report(reporter: str, sequence: int, attempts: int = 10, zone: int = 0) -> ZoneLoadReport:
    return ZoneLoadReport(
        "s",
        zone,
        100 + sequence,
        reporter,
        sequence,
        {"a": EndpointLoad(attempts, 1, 9000)},
        {0: GroupDemand(attempts, 2)},
    )


def test_load_reports_add_up_and_are_counted_once():
    first_hop, second_hop = Aggregator("leaf"), Aggregator("top")
    assert all(first_hop.add(make_report(f"p{n}", 1)) for n in range(64)) and not first_hop.add(
        make_report("p3", 1)
    )
    [sum_report] = first_hop.flush(101)
    assert sum_report.endpoints == {"a": EndpointLoad(640, 64, 64 * 9000)} and sum_report.groups == {
        0: GroupDemand(640, 128)
    }
    assert second_hop.add(sum_report) and not second_hop.add(sum_report) and first_hop.flush(102) == []
    assert first_hop.add(make_report("p3", 2)) and second_hop.add(first_hop.flush(103)[0])
    assert (
        second_hop.flush(104)[0].endpoints["a"].attempts == 650
        and first_hop.duplicate_count == second_hop.duplicate_count == 1
    )


SETTINGS = decode_settings(
    {
        "azs": ["a", "b"],
        "balancers": 1,
        "discovery": "pushed",
        "weights": "rough",
        "telemetry": {"columns": []},
        "classes": [
            {"name": "read", "importance": 1, "objective-ms": 800, "deadline-ms": 3000, "idempotency": "pure"}
        ],
        "family-info": {"level-kind": "fraction"},
        "rules": {"cold-share": 0.2, "fall-multiple": 3, "warm-after-ms": 16_000},
    }
)


def run_planner(
    seconds: int, attempts_by_zone=(40, 40), failures_by_zone=(0, 0), has_restart=None
) -> ServicePlanner:
    """Return a planner that has run for this time, for a service of four endpoints in each of two zones.

    With `has_restart` endpoint e0 is listed as restarted one second before the end.
    """
    planner = ServicePlanner("s", SETTINGS, 1)
    endpoints = {f"e{n}": EndpointEntry(n // 4, True, 1.0) for n in range(8)}
    planner.configure(endpoints)
    for zone in (0, 1):
        planner.add_zone(zone)
    for quarter in range(4 * seconds):
        now = NOW + quarter * SECOND // 4
        if quarter == 4 * (seconds - 1) and has_restart:
            planner.configure(endpoints | {"e0": EndpointEntry(0, True, 1.0, now)})
        for zone in (0, 1) if quarter % 4 == 0 else ():
            attempts = attempts_by_zone[zone]
            load = EndpointLoad(
                attempts, failures_by_zone[zone], (attempts - failures_by_zone[zone]) * 200_000
            )
            planner.add_report(
                ZoneLoadReport(
                    "s",
                    zone,
                    quarter,
                    "r",
                    quarter + 1,
                    {f"e{n}": load for n in range(4 * zone, 4 * zone + 4)},
                    {0: GroupDemand(4 * attempts)},
                ),
                SECOND,
            )
        planner.run_cycle(now)
    return planner


def test_the_planner_decides_by_kurmacost_and_spills_from_a_zone_with_failures():
    healthy_planner, failing_planner = (
        run_planner(20),
        run_planner(20, attempts_by_zone=(40, 20), failures_by_zone=(12, 0)),
    )
    assert set(read_table(healthy_planner.zone_entries(0))) == {"e0", "e1", "e2", "e3"}
    spill_targets = {name for name in read_table(failing_planner.zone_entries(0)) if name >= "e4"}
    assert spill_targets and not {name for name in read_table(failing_planner.zone_entries(1)) if name < "e4"}
    assert failing_planner.controller.spill_planner.shares != solve_spill(
        [1, 1], [1, 1], [None, None], [[1, 1], [1, 1]]
    )
    assert len(read_endpoints(healthy_planner.service_entries())) == 8


def test_the_bound_of_an_endpoint_in_slow_start_holds_for_18000_servers_whatever_they_eject():
    table = read_table(run_planner(20, has_restart=True).zone_entries(0))
    restarted_line = table["e0"]
    total_weight = sum(line.weight for line in table.values())
    assert 0 < restarted_line.largest_share < 1 and table["e1"].largest_share == 1.0
    random_source = random.Random(5)
    for max_ejected_count in (2, 3):
        share_sum = 0.0
        # Each server ejects different endpoints, because of an older list or of failures that it has seen.
        for _ in range(18_000):
            ejected_endpoints = random_source.sample(
                ["e1", "e2", "e3"], random_source.randint(0, max_ejected_count)
            )
            shares = received_shares(table, ejected_endpoints)
            share_sum += shares["e0"]
            assert sum(shares.values()) <= 1 + 1e-9 and (
                len(ejected_endpoints) == 3 or sum(shares.values()) == pytest.approx(1)
            )
        assert share_sum <= 18_000 * restarted_line.largest_share + 1e-6
    assert restarted_line.largest_share <= 3 / 2 * restarted_line.weight / total_weight + 1e-3


@pytest.mark.parametrize(
    "planned_share, capacity_share, overload_multiple, expected",
    [(0.1, 1.0, 3, 1.0), (0.1, 0.5, 3, 0.15), (0.1, 0.5, 1.5, 0.1), (0.9, 0.5, 4, 1.0)],
)
def test_the_largest_share_is_the_planned_share_times_half_the_overload_multiple(
    planned_share, capacity_share, overload_multiple, expected
):
    assert largest_share(planned_share, capacity_share, overload_multiple) == pytest.approx(expected)


def test_the_last_table_of_an_unreachable_owner_is_used_for_a_while_and_its_next_table_at_once():
    reachability = OwnerReachability()
    assert reachability.table_source(NOW, True) is TableSource.OWNER
    assert reachability.table_source(NOW + SECOND, False) is TableSource.LAST_TABLE
    assert reachability.table_source(NOW + LAST_TABLE_VALIDITY_US, False) is TableSource.LAST_TABLE
    assert reachability.table_source(NOW + SECOND + LAST_TABLE_VALIDITY_US, False) is TableSource.LOCAL
    assert reachability.table_source(NOW + 2 * LAST_TABLE_VALIDITY_US, True) is TableSource.OWNER


def test_the_client_notifies_its_caller_of_a_changed_topic():
    receiver = ConnectedClient(make_topic(1, 1, a=FIRST_VALUE))
    receiver.connect()
    [message] = receiver.served_topic.pull_messages("child", now=receiver.now)
    assert receiver.client.receive(receiver.now, message) == [TopicChanged("t")]


def test_a_restarted_reporter_has_a_new_name_and_reports_wait_for_a_connected_parent():
    names = {Relay("r", {"tree": ["p"]}, random.Random(seed), NOW).aggregator.name for seed in (1, 2)}
    assert len(names) == 2 and all(name.startswith("r#") for name in names)
    relay = Relay("r", {"tree": ["p"]}, random.Random(1), NOW)
    relay.load_report_received(make_report("a", 1))
    assert not any(isinstance(action, Send) for _, action in relay.tick(NOW + SECOND).upstream_actions)
    relay.upstream_connected(NOW + SECOND, "tree")
    relay.load_report_received(make_report("b", 1))
    sent_reports = [
        action.message
        for _, action in relay.tick(NOW + 2 * SECOND).upstream_actions
        if isinstance(action, Send)
    ]
    assert [report.endpoints["a"].attempts for report in sent_reports] == [20]
