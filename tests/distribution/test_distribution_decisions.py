"""Decisions of the distribution, each by itself: topics, publication, distributor, client, backoff,
aggregation, planner."""

import random
from collections import Counter
from itertools import count

import pytest

from ravenshelf.distribution.decisions.aggregation import Aggregator
from ravenshelf.distribution.decisions.allowance import largest_share, received_shares
from ravenshelf.distribution.decisions.backoff import SECOND, Backoff, TokenBucket
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

NOW = 1000 * SECOND
ONE, TWO = Setting("1"), Setting("2")


def version(epoch: int, sequence: int) -> Version:
    return Version(epoch, sequence)


def holding(epoch: int, sequence: int, **entries) -> Topic:
    topic = Topic("t")
    topic.replace(version(epoch, sequence), dict(entries))
    return topic


def delta(since: Version, to: Version, **changes) -> Delta:
    return Delta("t", since, to, changes)


# --- messages ---


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
def test_messages_survive_encoding_and_decoding(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00", b"\x93\x01", encode(Subscribe("t", NEVER))[:-1], b"\xc1" * 9],
    ids=["empty", "no array", "cut array", "cut message", "unused type byte"],
)
def test_malformed_messages_are_rejected(data):
    with pytest.raises(MalformedMessageError):
        decode(data)


# --- topics: what is applied, what is refused ---


@pytest.mark.parametrize(
    "message, outcome, entries",
    [
        (delta(version(2, 3), version(2, 4), a=TWO), UpdateOutcome.APPLIED, {"a": TWO}),
        (delta(version(2, 1), version(2, 4), a=TWO), UpdateOutcome.APPLIED, {"a": TWO}),
        (delta(version(2, 3), version(2, 4), a=None), UpdateOutcome.APPLIED, {}),
        (delta(version(2, 2), version(2, 3), a=TWO), UpdateOutcome.DUPLICATE, {"a": ONE}),
        (delta(version(2, 4), version(2, 5), a=TWO), UpdateOutcome.GAP, {"a": ONE}),
        (delta(version(1, 8), version(1, 9), a=TWO), UpdateOutcome.STALE_EPOCH, {"a": ONE}),
        (delta(version(2, 3), version(3, 1), a=TWO), UpdateOutcome.APPLIED, {"a": TWO}),
        (delta(version(2, 2), version(3, 1), a=TWO), UpdateOutcome.GAP, {"a": ONE}),
        (delta(version(2, 4), version(3, 1), a=TWO), UpdateOutcome.GAP, {"a": ONE}),
        (Snapshot("t", version(2, 3), 0, 1, {"a": TWO}), UpdateOutcome.DUPLICATE, {"a": ONE}),
        (Snapshot("t", version(1, 99), 0, 1, {"a": TWO}), UpdateOutcome.STALE_EPOCH, {"a": ONE}),
        (Snapshot("t", version(3, 1), 0, 1, {"b": TWO}), UpdateOutcome.APPLIED, {"b": TWO}),
        (Snapshot("t", version(3, 1), 0, 2, {"b": TWO}), UpdateOutcome.INCOMPLETE, {"a": ONE}),
    ],
    ids=[
        "the next delta",
        "a delta that covers more than is needed",
        "a delta that deletes",
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
def test_the_outcome_of_an_update(message, outcome, entries):
    topic = holding(2, 3, a=ONE)
    assert topic.receive(message) is outcome and topic.entries == entries
    assert topic.version == (message.version if outcome is UpdateOutcome.APPLIED else version(2, 3))


def test_parts_of_a_dropped_snapshot_are_not_joined_with_those_of_another():
    source = holding(1, 5, **{f"k{n}": ONE for n in range(3 * SNAPSHOT_PART_ENTRIES)})
    first, second, third = source.snapshot()
    topic = Topic("t")
    assert topic.receive(first) is UpdateOutcome.INCOMPLETE and not topic.entries
    topic.discard_partial_snapshot()
    assert (
        topic.receive(second) is UpdateOutcome.INCOMPLETE and topic.receive(third) is UpdateOutcome.INCOMPLETE
    )
    assert topic.receive(first) is UpdateOutcome.APPLIED and topic.entries == source.entries


def test_parts_of_an_older_snapshot_do_not_disturb_a_newer_one():
    old, new = (
        holding(1, 5, **{f"k{n}": ONE for n in range(2 * SNAPSHOT_PART_ENTRIES)}),
        holding(1, 6, **{f"k{n}": TWO for n in range(2 * SNAPSHOT_PART_ENTRIES)}),
    )
    topic = Topic("t")
    topic.receive(old.snapshot()[0])
    topic.receive(new.snapshot()[0])
    assert topic.receive(old.snapshot()[1]) is UpdateOutcome.DUPLICATE
    assert topic.receive(new.snapshot()[1]) is UpdateOutcome.APPLIED and topic.entries == new.entries


def test_late_subscribers_get_a_delta_if_the_history_covers_it_or_else_a_snapshot():
    topic = holding(1, 1, **{f"k{n}": ONE for n in range(40)})
    for sequence in range(2, 60):
        topic.apply(delta(version(1, sequence - 1), version(1, sequence), k3=Setting(str(sequence))))
    updates = topic.updates_since(version(1, 50))
    assert updates == [Delta("t", version(1, 50), version(1, 59), {"k3": Setting("59")})]
    assert isinstance(topic.updates_since(version(1, 2))[0], Snapshot)
    assert topic.updates_since(version(1, 59)) == [] == topic.updates_since(version(2, 1))


# --- publication ---


def test_three_hundred_changes_in_a_second_leave_as_ten_deltas():
    publication, flushed = Publication(Topic("t"), 1), 0
    publication.flush()
    for n in range(300):
        now = NOW + n * SECOND // 300
        if publication.due_at is not None and publication.due_at <= now:
            flushed += len(publication.flush().changes) > 0
        publication.put(now, f"k{n % 20}", Setting(str(n)))
    assert flushed <= SECOND // FLUSH_INTERVAL_US and len(publication.topic.entries) == 20


def test_a_change_that_is_reverted_before_the_flush_is_not_published():
    publication = Publication(holding(1, 4, a=ONE), 2)
    publication.put(NOW, "a", TWO)
    publication.put(NOW, "a", ONE)
    assert publication.flush() == Delta("t", version(1, 4), version(2, 1), {})


def test_an_epoch_that_is_not_later_is_rejected():
    with pytest.raises(ValueError, match="topic t: expected an epoch later than 3, found 3"):
        Publication(holding(3, 1), 3)


# --- distributor ---


class Served:
    def __init__(self, topic: Topic, **limits):
        self.topic = topic
        self.distributor = Distributor({"t": topic}, DistributorLimits(**limits))

    def subscribe(self, name: str, held: Version = NEVER) -> None:
        assert self.distributor.add_subscriber(NOW, name)
        self.distributor.receive(name, Subscribe("t", held))

    def pulled(self, name: str, room: int = 10**6, now: int = NOW) -> list:
        return [outgoing.message for outgoing in self.distributor.pull(now, name, room)]

    def change(self, **changes) -> list[str]:
        held = self.topic.version
        self.topic.apply(delta(held, version(held.epoch, held.sequence + 1), **changes))
        return list(self.distributor.topic_changed("t"))


def test_a_slow_subscriber_gets_one_delta_for_many_changes_and_delays_nobody():
    served = Served(holding(1, 1, **{f"k{n}": ONE for n in range(80)}))
    for name in ("slow", "fast"):
        served.subscribe(name, version(1, 1))
    for n in range(30):
        assert set(served.change(k1=Setting(str(n)))) == {"slow", "fast"}
        assert served.pulled("fast") == [delta(version(1, n + 1), version(1, n + 2), k1=Setting(str(n)))]
    assert served.pulled("slow") == [delta(version(1, 1), version(1, 31), k1=Setting("29"))]


def test_snapshots_wait_for_their_budget_while_deltas_go_on():
    topic = holding(1, 1, **{f"k{n}": Setting("x" * 100) for n in range(100)})
    size = sum(len(encode(part)) for part in topic.snapshot())
    served = Served(topic, snapshot_bytes_per_second=size, snapshot_burst_bytes=size)
    for name in ("first", "second"):
        served.subscribe(name)
    served.subscribe("current", version(1, 1))
    assert len(served.pulled("first")) == 1 and served.pulled("second") == []
    served.change(k1=ONE)
    assert len(served.pulled("current")) == 1
    later = served.distributor.due_at(NOW, "second")
    assert later > NOW
    assert served.pulled("second", now=NOW + 2 * SECOND)[1:] == topic.snapshot()  # after a heartbeat


def test_a_subscriber_is_never_sent_an_older_version():
    served = Served(holding(2, 5, a=ONE))
    served.subscribe("ahead", version(2, 9))
    served.subscribe("later epoch", version(3, 1))
    assert served.pulled("ahead") == [] == served.pulled("later epoch")


def test_no_more_subscribers_than_the_limit_and_the_same_name_once():
    distributor = Distributor({}, DistributorLimits(max_subscribers=2))
    assert distributor.add_subscriber(NOW, "a") and distributor.add_subscriber(NOW, "b")
    assert not distributor.add_subscriber(NOW, "c") and distributor.add_subscriber(NOW, "a")


# --- client ---


class Child:
    """A client and a distributor that it is connected to, message by message."""

    def __init__(self, topic: Topic, parents=("p0", "p1")):
        self.served = Served(topic)
        self.client = SubscriptionClient(parents, {}, random.Random(1), NOW)
        self.client.subscribe("t")
        self.now = NOW

    def connect(self) -> None:
        self.now = max(self.now, self.client.due_at())
        assert isinstance(self.client.tick(self.now)[-1], Dial)
        assert self.served.distributor.add_subscriber(self.now, "child")
        self.up(self.client.connection_opened(self.now))

    def up(self, actions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.served.distributor.receive("child", action.message)

    def down(self, *lost: int, twice: bool = False, reverse: bool = False) -> None:
        """All that the parent has to say arrives but for the messages of these numbers."""
        messages = self.served.pulled("child", now=self.now)
        messages = [message for number, message in enumerate(messages) if number not in lost]
        for message in (
            (reversed(messages) if reverse else messages)
            if not twice
            else [m for m in messages for _ in (0, 1)]
        ):
            self.up(self.client.receive(self.now, message))

    @property
    def entries(self) -> dict:
        return self.client.topics["t"].entries


def test_a_lost_delta_is_detected_by_the_next_one_and_requested_again():
    child = Child(holding(1, 1, a=ONE, b=ONE))
    child.connect()
    child.down()
    child.served.change(a=TWO)
    child.down(0)
    child.served.change(b=TWO)
    child.down()  # a gap: it subscribes again with what it holds
    child.down()
    assert child.entries == {"a": TWO, "b": TWO} and child.client.resyncs == 1


def test_a_lost_delta_with_nothing_after_it_is_detected_by_the_digests():
    child = Child(holding(1, 1, a=ONE))
    child.connect()
    child.down()
    child.served.change(a=TWO)
    child.down(0)
    for _ in range(3):
        child.now += SECOND
        child.down()
    assert child.entries == {"a": TWO} and child.client.resyncs == 1


@pytest.mark.parametrize("how", [{"twice": True}, {"reverse": True}], ids=["repeated", "reordered"])
def test_repeated_and_reordered_messages_end_in_the_same_state(how):
    child = Child(holding(1, 1, **{f"k{n}": ONE for n in range(2 * SNAPSHOT_PART_ENTRIES)}))
    child.connect()
    child.down(**how)
    child.served.change(k1=TWO)
    for _ in range(4):
        child.now += SECOND
        child.down(**how)
    assert child.entries == child.served.topic.entries


def test_a_parent_that_dies_within_a_snapshot_is_replaced_by_another():
    topic = holding(1, 1, **{f"k{n}": ONE for n in range(3 * SNAPSHOT_PART_ENTRIES)})
    child = Child(topic)
    child.connect()
    for message in child.served.pulled("child", room=1):
        child.client.receive(child.now, message)
    assert child.entries == {}
    child.client.connection_lost(child.now)
    child.served.distributor.remove_subscriber("child")
    assert child.client.parent == "p1"
    child.connect()
    child.down()
    assert child.entries == topic.entries


def test_silent_parents_and_dials_time_out():
    client = SubscriptionClient(["p0", "p1"], {}, random.Random(1), NOW)
    assert client.tick(NOW) == [Dial("p0")]
    client.connection_opened(NOW)
    assert client.tick(NOW + 2 * SECOND) == []
    assert client.tick(NOW + 3 * SECOND)[0] == Disconnect()
    dialled = client.tick(client.due_at())
    assert dialled == [Dial("p1")] and client.state is ConnectionState.DIALLING
    assert client.tick(client.due_at())[0] == Disconnect() and client.parent == "p0"


def test_dials_after_a_common_loss_are_spread_by_backoff():
    clients = [SubscriptionClient(["p"], {}, random.Random(n), NOW) for n in range(2000)]
    for client in clients:
        client.tick(NOW)
        client.connection_opened(NOW)
        client.connection_lost(NOW)
    waits = sorted(client.due_at() - NOW for client in clients)
    assert waits[0] < 5_000 and waits[-1] > 450_000
    fullest = max(sum(at <= wait < at + 50_000 for wait in waits) for at in range(0, 500_000, 10_000))
    assert fullest < 0.15 * len(clients)
    backoff = Backoff(random.Random(1))
    assert max(backoff.next_delay() for _ in range(40)) <= 2 * SECOND
    assert sum(backoff.next_delay() for _ in range(100)) / 100 > 0.7 * SECOND


def test_the_preferred_parent_is_dialled_again_after_a_while():
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


def test_the_bucket_grants_more_than_its_burst_only_when_full_and_goes_into_debt():
    bucket = TokenBucket(100.0, 200.0)
    assert bucket.try_consume(NOW, 500) and not bucket.try_consume(NOW + 2 * SECOND, 1)
    assert bucket.ready_at(NOW + 2 * SECOND, 1) > NOW + 2 * SECOND
    assert bucket.try_consume(NOW + 4 * SECOND, 1)


# --- ownership ---


def test_a_claim_of_an_earlier_epoch_changes_nothing():
    view = OwnershipView()
    assert view.update("s", Claim("b", 7))
    assert not view.update("s", Claim("a", 6)) and view.claim("s") == Claim("b", 7)
    assert view.update("s", Claim("a", 8))
    key, entry = claim_entry("s", 8)
    assert list(read_claims("a", {key: entry, "junk": ONE})) == [("s", Claim("a", 8))]


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
    owned = [shard_of_service(f"service-{n}", 256) for n in range(1200)]
    assert max(owned.count(shard) for shard in set(owned)) <= 16
    ready = replica_controllers(5, 3, weights)
    assert len(ready) == 2 and 3 not in ready
    left = {member: weight for member, weight in weights.items() if member != ready[1]}
    assert replica_controllers(5, 3, left)[0] == ready[0]


def test_an_owner_whose_lease_has_expired_publishes_nothing():
    owner = ServiceOwner("a", 1, 8, lambda topic: {"c:x": ONE}, [], random.Random(1), NOW)
    owner.acquire(NOW, "s", PublicationLease(4, NOW + 2 * SECOND))
    owner.distributor.add_subscriber(NOW, "relay")
    owner.subscriber_message_received(NOW, "relay", Subscribe("s@0", NEVER))
    asleep_until = NOW + 60 * SECOND
    assert all(not service_of_topic(topic) for topic in owner.publish(asleep_until)[0])
    assert owner.due_at(asleep_until) is None and owner.topics["s@0"].version == NEVER
    owner.owned_services["s"].renew(asleep_until + SECOND)
    assert owner.publish(asleep_until)[0] == ["s@0"] and owner.topics["s@0"].version == version(4, 1)


def test_a_topic_subscribed_to_before_the_lease_is_granted_is_published_with_it():
    owner = ServiceOwner("a", 1, 8, lambda topic: {"c:x": ONE}, [], random.Random(1), NOW)
    owner.distributor.add_subscriber(NOW, "relay")
    owner.subscriber_message_received(NOW, "relay", Subscribe("s@0", version(1, 2)))
    owner.acquire(NOW, "s", PublicationLease(2, NOW + SECOND))
    assert "s@0" in owner.publish(NOW + 100_000)[0] and owner.topics["s@0"].version == version(2, 1)


def test_a_service_without_subscribers_is_not_published():
    asked = []
    owner = ServiceOwner("a", 1, 8, lambda topic: asked.append(topic) or {}, [], random.Random(1), NOW)
    owner.acquire(NOW, "s", PublicationLease(1, NOW + 100 * SECOND))
    for second in range(50):
        owner.refresh(NOW + second * SECOND, "s@0")
        owner.publish(NOW + second * SECOND)
    assert asked == [] and all(not service_of_topic(topic) for topic in owner.topics)


# --- the tree ---


@pytest.mark.parametrize(
    "server_count, fan_out", [(0, 8), (1, 8), (64, 128), (65, 128), (18_000, 128), (18_000, 8), (3, 2)]
)
def test_no_relay_has_more_than_half_of_its_children_by_plan(server_count, fan_out):
    made = plan_relay_levels(server_count, fan_out)
    below = server_count
    for level in reversed(made):
        parents = [candidate_parents(place, below, level) for place in range(below)]
        first = Counter(names[0] for names in parents)
        assert max(first.values(), default=0) <= max(1, fan_out // 2)
        assert all(len(set(names)) == len(names) for names in parents)
        below = len(level.names)


@pytest.mark.parametrize("server_count, fan_out", [(-1, 8), (5, 1)])
def test_an_impossible_tree_is_rejected(server_count, fan_out):
    with pytest.raises(ValueError, match="expected 0 or more servers and a fan-out of 2 or more"):
        plan_relay_levels(server_count, fan_out)


# --- sums on the way up ---


def report(reporter: str, sequence: int, tries: int = 10, zone: int = 0) -> ZoneLoadReport:
    return ZoneLoadReport(
        "s",
        zone,
        100 + sequence,
        reporter,
        sequence,
        {"a": EndpointLoad(tries, 1, 9000)},
        {0: GroupDemand(tries, 2)},
    )


def test_load_reports_add_up_and_are_counted_once():
    leaf, top = Aggregator("leaf"), Aggregator("top")
    assert all(leaf.add(report(f"p{n}", 1)) for n in range(64)) and not leaf.add(report("p3", 1))
    [summed] = leaf.flush(101)
    assert summed.endpoints == {"a": EndpointLoad(640, 64, 64 * 9000)} and summed.groups == {
        0: GroupDemand(640, 128)
    }
    assert top.add(summed) and not top.add(summed) and leaf.flush(102) == []
    assert leaf.add(report("p3", 2)) and top.add(leaf.flush(103)[0])
    assert (
        top.flush(104)[0].endpoints["a"].attempts == 650 and leaf.duplicate_count == top.duplicate_count == 1
    )


# --- planner, allowance, fallback ---

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


def planned(seconds: int, demand=(40, 40), failures=(0, 0), changed=None) -> ServicePlanner:
    """A service of four endpoints in each of two zones, after so many seconds."""
    planner = ServicePlanner("s", SETTINGS, 1)
    endpoints = {f"e{n}": EndpointEntry(n // 4, True, 1.0) for n in range(8)}
    planner.configure(endpoints)
    for zone in (0, 1):
        planner.add_zone(zone)
    for quarter in range(4 * seconds):
        now = NOW + quarter * SECOND // 4
        if quarter == 4 * (seconds - 1) and changed:
            planner.configure(endpoints | {"e0": EndpointEntry(0, True, 1.0, now)})
        for zone in (0, 1) if quarter % 4 == 0 else ():
            tries = demand[zone]
            sums = EndpointLoad(tries, failures[zone], (tries - failures[zone]) * 200_000)
            planner.add_report(
                ZoneLoadReport(
                    "s",
                    zone,
                    quarter,
                    "r",
                    quarter + 1,
                    {f"e{n}": sums for n in range(4 * zone, 4 * zone + 4)},
                    {0: GroupDemand(4 * tries)},
                ),
                SECOND,
            )
        planner.run_cycle(now)
    return planner


def test_the_planner_decides_by_kurmacost_and_spills_from_a_failing_zone():
    calm, failing = planned(20), planned(20, demand=(40, 20), failures=(12, 0))
    assert set(read_table(calm.zone_entries(0))) == {"e0", "e1", "e2", "e3"}
    spilled = {name for name in read_table(failing.zone_entries(0)) if name >= "e4"}
    assert spilled and not {name for name in read_table(failing.zone_entries(1)) if name < "e4"}
    assert failing.controller.spill_planner.shares != solve_spill(
        [1, 1], [1, 1], [None, None], [[1, 1], [1, 1]]
    )
    assert len(read_endpoints(calm.service_entries())) == 8


def test_the_bound_of_an_endpoint_in_slow_start_holds_over_18000_servers_whatever_they_eject():
    table = read_table(planned(20, changed=True).zone_entries(0))
    cold = table["e0"]
    total = sum(line.weight for line in table.values())
    assert 0 < cold.largest_share < 1 and table["e1"].largest_share == 1.0
    random_source = random.Random(5)
    for most_out in (2, 3):
        received = 0.0
        for _ in range(
            18_000
        ):  # each server has ejected endpoints of its own, by an older list or by failures that it met
            out = random_source.sample(["e1", "e2", "e3"], random_source.randint(0, most_out))
            given = received_shares(table, out)
            received += given["e0"]
            assert sum(given.values()) <= 1 + 1e-9 and (
                len(out) == 3 or sum(given.values()) == pytest.approx(1)
            )
        assert received <= 18_000 * cold.largest_share + 1e-6
    assert cold.largest_share <= 3 / 2 * cold.weight / total + 1e-3


@pytest.mark.parametrize(
    "planned_share, ramp, multiple, expected",
    [(0.1, 1.0, 3, 1.0), (0.1, 0.5, 3, 0.15), (0.1, 0.5, 1.5, 0.1), (0.9, 0.5, 4, 1.0)],
)
def test_largest_share(planned_share, ramp, multiple, expected):
    assert largest_share(planned_share, ramp, multiple) == pytest.approx(expected)


def test_the_last_table_of_an_unreachable_owner_is_used_for_a_while_and_its_next_at_once():
    reach = OwnerReachability()
    assert reach.table_source(NOW, True) is TableSource.OWNER
    assert reach.table_source(NOW + SECOND, False) is TableSource.LAST_TABLE
    assert reach.table_source(NOW + LAST_TABLE_VALIDITY_US, False) is TableSource.LAST_TABLE
    assert reach.table_source(NOW + SECOND + LAST_TABLE_VALIDITY_US, False) is TableSource.LOCAL
    assert reach.table_source(NOW + 2 * LAST_TABLE_VALIDITY_US, True) is TableSource.OWNER


def test_the_caller_is_notified_of_a_change():
    child = Child(holding(1, 1, a=ONE))
    child.connect()
    [message] = child.served.pulled("child", now=child.now)
    assert child.client.receive(child.now, message) == [TopicChanged("t")]


def test_a_restarted_reporter_is_counted_and_reports_wait_for_a_reachable_owner():
    names = {Relay("r", {"tree": ["p"]}, random.Random(seed), NOW).aggregator.name for seed in (1, 2)}
    assert len(names) == 2 and all(name.startswith("r#") for name in names)
    relay = Relay("r", {"tree": ["p"]}, random.Random(1), NOW)
    relay.load_report_received(report("a", 1))
    assert not any(isinstance(action, Send) for _, action in relay.tick(NOW + SECOND).upstream_actions)
    relay.upstream_connected(NOW + SECOND, "tree")
    relay.load_report_received(report("b", 1))
    sent = [
        action.message
        for _, action in relay.tick(NOW + 2 * SECOND).upstream_actions
        if isinstance(action, Send)
    ]
    assert [one.endpoints["a"].attempts for one in sent] == [20]
