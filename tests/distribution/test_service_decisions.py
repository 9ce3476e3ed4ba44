"""A controller's services: decided from sums, taken over from a former owner, never emptied."""

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
NAMES = [f"e{n}" for n in range(4)]


class Controller:
    """An owner with its decisions, on a clock set by hand."""

    def __init__(self):
        self.now = NOW
        self.service = ServiceConfiguration(
            {name: EndpointEntry(0, True, 1.0) for name in NAMES}, {"team": "orders"}
        )
        self.decisions = ServiceDecisions(SETTINGS, lambda service: self.service, 1)
        self.owner = ServiceOwner("a", 1, 8, self.decisions.content, [], random.Random(1), NOW)
        self.decisions.attach(self.owner)
        self.owner.distributor.add_subscriber(NOW, "relay")
        self.reports = 0

    def own(self, epoch: int = 5) -> "Controller":
        self.owner.acquire(self.now, "s", PublicationLease(epoch, NOW + 10_000 * SECOND))
        return self

    def subscribe(self, *zones: int) -> "Controller":
        for topic in (service_topic("s"), *(zone_topic("s", zone) for zone in zones)):
            self.owner.subscriber_message_received(self.now, "relay", Subscribe(topic, NEVER))
        return self

    def listed(self, **changed: EndpointEntry) -> None:
        self.service = ServiceConfiguration({**self.service.endpoints, **changed}, self.service.settings)

    def run(self, seconds: float, bad: str = "") -> "Controller":
        for _ in range(round(seconds * 4)):
            self.now += CYCLE_INTERVAL_US
            if bad and self.now % SECOND == 0:
                self.report(bad)
            self.decisions.run_cycle(self.now)
            self.owner.publish(self.now)
        return self

    def report(self, bad: str) -> None:
        """A second's sums of zone 0, in which one endpoint fails."""
        self.reports += 1
        sums = {
            name: EndpointLoad(50, 50 if name == bad else 0, 0 if name == bad else 50 * 200_000)
            for name in NAMES
        }
        self.decisions.add_load_report(
            ZoneLoadReport("s", 0, self.now // SECOND, "relay#1", self.reports, sums, {0: GroupDemand(200)})
        )

    def table(self, zone: int = 0) -> dict[str, float]:
        return {
            name: line.weight
            for name, line in read_table(self.owner.topics[zone_topic("s", zone)].entries).items()
        }


def replica(controller: Controller, **weights: float) -> Controller:
    """It held this table of a former owner."""
    topic = controller.owner.topics.setdefault(zone_topic("s", 0), Topic(zone_topic("s", 0)))
    topic.replace(Version(4, 9), {f"t:{name}": TableLine(weight) for name, weight in weights.items()})
    return controller


def test_tables_follow_the_load_reports():
    controller = Controller().own().subscribe(0).run(1)
    assert controller.table() == dict.fromkeys(NAMES, 250.0)
    controller.run(20, bad="e2")
    table = controller.table()
    assert table["e2"] < 0.2 * table["e1"] and controller.owner.topics[zone_topic("s", 0)].version.epoch == 5
    assert "c:team" in controller.owner.topics[service_topic("s")].entries


def test_the_same_report_twice_counts_once():
    controller = Controller().own().subscribe(0).run(1)
    controller.report("e1")
    controller.reports -= 1
    controller.report("e1")
    assert controller.decisions.aggregator.duplicate_count == 1


def test_a_service_is_decided_only_while_it_has_subscribers():
    controller = Controller().own().run(5)
    assert controller.decisions.planned_services == {}
    controller.subscribe(0, 1).run(1)
    assert controller.decisions.planned_services["s"].planner.zones == {0, 1}
    controller.owner.subscriber_message_received(controller.now, "relay", Unsubscribe(zone_topic("s", 1)))
    assert controller.run(1).decisions.planned_services["s"].planner.zones == {0}
    for topic in (service_topic("s"), zone_topic("s", 0)):
        controller.owner.subscriber_message_received(controller.now, "relay", Unsubscribe(topic))
    assert controller.run(1).decisions.planned_services == {}


def test_a_successor_keeps_the_inherited_table_until_it_has_enough_reports():
    controller = replica(Controller(), e0=900.0, e1=60.0, e2=40.0).own().subscribe(0).run(3, bad="e0")
    assert controller.table() == {"e0": 900.0, "e1": 60.0, "e2": 40.0}
    assert controller.owner.topics[zone_topic("s", 0)].version.epoch == 5
    controller.run(12, bad="e0")
    assert controller.table()["e0"] < controller.table()["e1"] and set(controller.table()) == set(NAMES)


def test_without_load_reports_the_inherited_table_is_replaced_after_a_while():
    controller = (
        replica(Controller(), e0=900.0, e1=100.0)
        .own()
        .subscribe(0)
        .run(WARM_UP_WITHOUT_REPORTS_US / SECOND - 1)
    )
    assert controller.table() == {"e0": 900.0, "e1": 100.0}
    assert controller.run(2).table() == dict.fromkeys(NAMES, 250.0)


@pytest.mark.parametrize(
    "changed",
    [EndpointEntry(0, False, 1.0), EndpointEntry(0, True, 1.0, NOW - SECOND)],
    ids=["drains", "started again"],
)
def test_draining_and_restarted_endpoints_leave_the_inherited_table_at_once(changed):
    controller = replica(Controller(), e0=900.0, e1=60.0, e2=40.0)
    controller.listed(e0=changed)
    assert controller.own().subscribe(0).run(1).table() == {"e1": 60.0, "e2": 40.0}


def test_an_owner_without_endpoints_never_empties_a_table():
    controller = Controller().own()
    controller.subscribe(0)
    controller.owner.publish(controller.now)
    assert (
        controller.owner.topics[zone_topic("s", 0)].version == NEVER
    )  # nothing is said before there is a table
    controller.run(1)
    for name in NAMES:
        controller.listed(**{name: EndpointEntry(0, False, 1.0)})
    assert controller.run(3).table()


def test_a_lost_lease_ends_the_decisions():
    controller = Controller().own().subscribe(0).run(1)
    controller.owner.release(controller.now, "s")
    held = controller.owner.topics[zone_topic("s", 0)].version
    assert controller.run(3, bad="e0").decisions.planned_services == {}
    assert controller.owner.topics[zone_topic("s", 0)].version == held
