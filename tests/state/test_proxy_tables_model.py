"""Random commands against a model of proxies, and the number of messages that a control cycle builds."""

import random

import pytest
from proxy_messages import updates_by_proxy

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.message_building import MessageBuilder
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.table_update import TableUpdate


class ModelProxy:
    """A proxy that applies messages, and keeps its tables and ejections when its stream ends."""

    def __init__(self):
        self.lines_by_group, self.levels, self.excluded_endpoints = {0: {9: 1.0}, 1: {9: 1.0}}, {}, set()

    def apply(self, updates):
        for update in updates:
            for group in update.groups or (0, 1):
                if update.is_complete:
                    self.lines_by_group[group], self.levels = (
                        {},
                        {key: level for key, level in self.levels.items() if key != group},
                    )
                self.lines_by_group[group] = {
                    endpoint: weight
                    for endpoint, weight in {**self.lines_by_group[group], **dict(update.weights)}.items()
                    if weight
                }
                if update.admission_level:
                    self.levels[group] = update.admission_level
            self.excluded_endpoints = (self.excluded_endpoints | set(update.ejected_endpoints)) - set(
                update.readmitted_endpoints
            )

    def usable_weights(self, group):
        return {
            endpoint: weight
            for endpoint, weight in self.lines_by_group[group].items()
            if endpoint not in self.excluded_endpoints
        }


def join_proxies(random_source, tables, proxies, has_no_other_server):
    for number, proxy in proxies.items():
        if number not in tables.proxies and random_source.random() < 0.5:
            if not has_no_other_server:  # the proxy was connected to another server in between
                proxy.apply(
                    [
                        TableUpdate(
                            ejected_endpoints=random_source.sample(range(6), 2), readmitted_endpoints=[]
                        )
                    ]
                )
            is_fresh = number not in tables.past_ejections and has_no_other_server
            tables.add_proxy(number, is_fresh)


def reconcile(tables):
    for number in tables.proxies:
        tables.reconcile_ejections(number, tables.possible_ejections(number))


def give_random_command(random_source, tables):
    table, endpoint = random_source.randrange(3), random_source.randrange(6)
    random_source.choice(
        [
            lambda: tables.set_weight(table, endpoint, random_source.choice([0, 1.0, 2.5])),
            lambda: tables.set_weight(table, endpoint, 1.5),
            lambda: tables.set_ejected(endpoint, random_source.random() < 0.6),
            lambda: tables.bind_proxy(random_source.randrange(4), table, random_source.randrange(4)),
            lambda: tables.set_admission_level(
                random_source.choice([table, ALL_TABLES]),
                random_source.randrange(4),
                random_source.random(),
                1,
            ),
            lambda: tables.clear_table(table),
        ]
    )()


def lowest_level(contents, table, group):
    levels = [contents.admission_levels.get(key, {}).get(group) for key in (table, ALL_TABLES)]
    return min((level for level, _ in filter(None, levels)), default=None)


def check_proxies(tables, proxies):
    contents = tables.contents
    for number, state in tables.proxies.items():
        for group, table in state.table_by_group.items():
            weights = contents.weights.get(table, {})
            expected_weights = {
                endpoint: weight
                for endpoint, weight in weights.items()
                if endpoint not in contents.ejected_endpoints
            }
            assert proxies[number].usable_weights(group) == expected_weights
            level = proxies[number].levels.get(group, (None,))[0]
            assert level == lowest_level(contents, table, group)


@pytest.mark.parametrize("has_no_other_server", [True, False])
@pytest.mark.parametrize("seed", range(12))
def test_proxies_hold_what_random_commands_specify(seed, has_no_other_server):
    random_source, tables = random.Random(seed), ProxyTables(2, has_no_other_server)
    proxies = {number: ModelProxy() for number in range(4)}
    for _ in range(60):
        join_proxies(random_source, tables, proxies, has_no_other_server)
        reconcile(tables)
        for _ in range(random_source.randrange(4)):
            give_random_command(random_source, tables)
        lost_proxy = random_source.choice([*tables.proxies, *[None] * 8])
        for number, updates in updates_by_proxy(tables).items():
            if number != lost_proxy:
                proxies[number].apply(updates)
        if lost_proxy is not None:  # its stream ended before it received the message
            tables.remove_proxy(lost_proxy)
        reconcile(tables)
        for number, updates in updates_by_proxy(tables).items():
            proxies[number].apply(updates)
        check_proxies(tables, proxies)


def test_a_cycle_builds_messages_only_for_affected_proxies(monkeypatch):
    """Guard against a cycle that examines every proxy.

    At full size such cycles kept a core busy with proxies that no command concerned.
    """
    tables, built_states = ProxyTables(2, False), []
    original_method = MessageBuilder.build_updates
    monkeypatch.setattr(
        MessageBuilder,
        "build_updates",
        lambda self, proxy: built_states.append(proxy) or original_method(self, proxy),
    )
    for table in range(10):
        tables.set_weight(table, table, 1.0)
    for proxy in range(1000):
        tables.add_proxy(proxy, proxy % 2 == 0)
        tables.bind_proxy(proxy, proxy % 10)
    assert len(tables.build_messages()) == len(built_states) == 1000
    tables.proxies_to_reconcile()
    for give_command in (
        lambda: tables.set_weight(3, 77, 1.0),
        lambda: tables.set_ejected(3, True),
        lambda: tables.set_admission_level(3, 0, 2.0, 1),
    ):
        built_states.clear()
        give_command()
        assert [message.proxy for message in tables.build_messages()] == list(range(3, 1000, 10)) and len(
            built_states
        ) == 100
    tables.set_ejected(3, False)
    assert len(tables.build_messages()) == 100
    assert [number for number, _ in tables.proxies_to_reconcile()] == [number for number in range(1, 1000, 2)]
    tables.remove_proxy(5)
    tables.add_proxy(5, True)
    built_states.clear()
    tables.set_ejected(5, True)  # proxy 5 is not bound to a table, so it may use any
    assert [message.proxy for message in tables.build_messages()][-1] == 5 and len(built_states) == 100
