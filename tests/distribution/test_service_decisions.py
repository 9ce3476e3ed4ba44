"""Tests of a controller's services: decisions from load reports, inherited tables, and loss of endpoints."""

import random

import pytest
from test_distribution_decisions import SETTINGS

from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.planner import read_table, service_topic, zone_topic
from ravenshelf.distribution.decisions.service_decisions import (
    CYCLE_INTERVAL_US,
    WARM_UP_WITHOUT_REPORTS_US,
    ServiceConfiguration,
    ServiceDecisions,
)
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import (
    NEVER,
    EndpointEntry,
    EndpointLoad,
    GroupDemand,
    Subscribe,
    TableLine,
    Unsubscribe,
    Version,
    ZoneLoadReport,
)

SECOND = 1_000_000
NOW = 1000 * SECOND
ENDPOINT_NAMES = [f"e{n}" for n in range(4)]


class OwnerWithDecisions:
    """A service owner with its decisions, on a clock that the test advances."""

    def __init__(self):
        self.now = NOW
        self.configuration = ServiceConfiguration(
            {name: EndpointEntry(0, True, 1.0) for name in ENDPOINT_NAMES}, {"team": "orders"}
        )
        self.decisions = ServiceDecisions(SETTINGS, lambda service: self.configuration, 1)
        self.owner = ServiceOwner("a", 1, 8, self.decisions.content, [], random.Random(1), NOW)
        self.decisions.attach(self.owner)
        self.owner.distributor.add_subscriber(NOW, "relay")
        self.report_count = 0

    def acquire_service(self, epoch: int = 5) -> "OwnerWithDecisions":
        self.owner.acquire(self.now, "s", PublicationLease(epoch, NOW + 10_000 * SECOND))
        return self

    def subscribe(self, *zones: int) -> "OwnerWithDecisions":
        for topic in (service_topic("s"), *(zone_topic("s", zone) for zone in zones)):
            self.owner.subscriber_message_received(self.now, "relay", Subscribe(topic, NEVER))
        return self

    def change_endpoints(self, **changed_endpoints: EndpointEntry) -> None:
        self.configuration = ServiceConfiguration(
            {**self.configuration.endpoints, **changed_endpoints}, self.configuration.settings
        )

    def run(self, seconds: float, failing_endpoint: str = "") -> "OwnerWithDecisions":
        for _ in range(round(seconds * 4)):
            self.now += CYCLE_INTERVAL_US
            if failing_endpoint and self.now % SECOND == 0:
                self.report(failing_endpoint)
            self.decisions.run_cycle(self.now)
            self.owner.publish(self.now)
        return self

    def report(self, failing_endpoint: str) -> None:
        """Report the load of zone 0 in one second, in which all attempts at one endpoint fail."""
        self.report_count += 1
        load_by_endpoint = {
            name: EndpointLoad(
                50, 50 if name == failing_endpoint else 0, 0 if name == failing_endpoint else 50 * 200_000
            )
            for name in ENDPOINT_NAMES
        }
        self.decisions.add_load_report(
            ZoneLoadReport(
                "s",
                0,
                self.now // SECOND,
                "relay#1",
                self.report_count,
                load_by_endpoint,
                {0: GroupDemand(200)},
            )
        )

    def table(self, zone: int = 0) -> dict[str, float]:
        return {
            name: line.weight
            for name, line in read_table(self.owner.topics[zone_topic("s", zone)].entries).items()
        }


def with_replicated_table(controller: OwnerWithDecisions, **weights: float) -> OwnerWithDecisions:
    """Return the controller after it has replicated this table from a previous owner."""
    topic = controller.owner.topics.setdefault(zone_topic("s", 0), Topic(zone_topic("s", 0)))
    topic.replace(Version(4, 9), {f"t:{name}": TableLine(weight) for name, weight in weights.items()})
    return controller


def test_tables_follow_the_load_reports():
    controller = OwnerWithDecisions().acquire_service().subscribe(0).run(1)
    assert controller.table() == dict.fromkeys(ENDPOINT_NAMES, 250.0)
    controller.run(20, failing_endpoint="e2")
    table = controller.table()
    assert table["e2"] < 0.2 * table["e1"] and controller.owner.topics[zone_topic("s", 0)].version.epoch == 5
    assert "c:team" in controller.owner.topics[service_topic("s")].entries


def test_a_report_that_arrives_twice_is_counted_once():
    controller = OwnerWithDecisions().acquire_service().subscribe(0).run(1)
    controller.report("e1")
    controller.report_count -= 1
    controller.report("e1")
    assert controller.decisions.aggregator.duplicate_count == 1


def test_a_service_is_decided_only_while_it_has_subscribers():
    controller = OwnerWithDecisions().acquire_service().run(5)
    assert controller.decisions.planned_services == {}
    controller.subscribe(0, 1).run(1)
    assert controller.decisions.planned_services["s"].planner.zones == {0, 1}
    controller.owner.subscriber_message_received(controller.now, "relay", Unsubscribe(zone_topic("s", 1)))
    assert controller.run(1).decisions.planned_services["s"].planner.zones == {0}
    for topic in (service_topic("s"), zone_topic("s", 0)):
        controller.owner.subscriber_message_received(controller.now, "relay", Unsubscribe(topic))
    assert controller.run(1).decisions.planned_services == {}


def test_a_successor_keeps_the_inherited_table_until_it_has_enough_reports():
    controller = (
        with_replicated_table(OwnerWithDecisions(), e0=900.0, e1=60.0, e2=40.0)
        .acquire_service()
        .subscribe(0)
        .run(3, failing_endpoint="e0")
    )
    assert controller.table() == {"e0": 900.0, "e1": 60.0, "e2": 40.0}
    assert controller.owner.topics[zone_topic("s", 0)].version.epoch == 5
    controller.run(12, failing_endpoint="e0")
    assert controller.table()["e0"] < controller.table()["e1"] and set(controller.table()) == set(
        ENDPOINT_NAMES
    )


def test_without_load_reports_the_inherited_table_is_replaced_after_the_longer_warm_up():
    controller = (
        with_replicated_table(OwnerWithDecisions(), e0=900.0, e1=100.0)
        .acquire_service()
        .subscribe(0)
        .run(WARM_UP_WITHOUT_REPORTS_US / SECOND - 1)
    )
    assert controller.table() == {"e0": 900.0, "e1": 100.0}
    assert controller.run(2).table() == dict.fromkeys(ENDPOINT_NAMES, 250.0)


@pytest.mark.parametrize(
    "changed_endpoint",
    [EndpointEntry(0, False, 1.0), EndpointEntry(0, True, 1.0, NOW - SECOND)],
    ids=["draining", "restarted"],
)
def test_draining_and_restarted_endpoints_are_removed_from_the_inherited_table_at_once(changed_endpoint):
    controller = with_replicated_table(OwnerWithDecisions(), e0=900.0, e1=60.0, e2=40.0)
    controller.change_endpoints(e0=changed_endpoint)
    assert controller.acquire_service().subscribe(0).run(1).table() == {"e1": 60.0, "e2": 40.0}


def test_an_owner_without_endpoints_never_empties_a_table():
    controller = OwnerWithDecisions().acquire_service()
    controller.subscribe(0)
    controller.owner.publish(controller.now)
    # Nothing is published before there is a table.
    assert controller.owner.topics[zone_topic("s", 0)].version == NEVER
    controller.run(1)
    for name in ENDPOINT_NAMES:
        controller.change_endpoints(**{name: EndpointEntry(0, False, 1.0)})
    assert controller.run(3).table()


def test_a_released_service_is_no_longer_decided_or_published():
    controller = OwnerWithDecisions().acquire_service().subscribe(0).run(1)
    controller.owner.release(controller.now, "s")
    last_version = controller.owner.topics[zone_topic("s", 0)].version
    assert controller.run(3, failing_endpoint="e0").decisions.planned_services == {}
    assert controller.owner.topics[zone_topic("s", 0)].version == last_version
