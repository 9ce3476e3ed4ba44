"""Random commands against what they mean to proxies, and the work of a control cycle."""

import random

import pytest
from proxy_messages import updates_by_proxy

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.message_building import MessageBuilder
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.table_update import TableUpdate


class Obedient:
    """A proxy that does as messages say and keeps what it holds when its stream breaks."""

    def __init__(self):
        self.lines, self.levels, self.out = {0: {9: 1.0}, 1: {9: 1.0}}, {}, set()

    def obey(self, updates):
        for update in updates:
            for g in update.groups or (0, 1):
                if update.is_complete:
                    self.lines[g], self.levels = {}, {k: v for k, v in self.levels.items() if k != g}
                self.lines[g] = {e: w for e, w in {**self.lines[g], **dict(update.weights)}.items() if w}
                if update.admission_level:
                    self.levels[g] = update.admission_level
            self.out = (self.out | set(update.ejected_endpoints)) - set(update.readmitted_endpoints)

    def picks(self, group):
        return {e: w for e, w in self.lines[group].items() if e not in self.out}


def join_proxies(chance, tables, proxies, alone):
    for number, proxy in proxies.items():
        if number not in tables.proxies and chance.random() < 0.5:
            if not alone:  # another server had it meanwhile
                proxy.obey(
                    [TableUpdate(ejected_endpoints=chance.sample(range(6), 2), readmitted_endpoints=[])]
                )
            fresh = number not in tables.past_ejections and alone
            tables.add_proxy(number, fresh)


def reconcile(tables):
    for number in tables.proxies:
        tables.reconcile_ejections(number, tables.possible_ejections(number))


def give_random_command(chance, tables):
    table, endpoint = chance.randrange(3), chance.randrange(6)
    chance.choice(
        [
            lambda: tables.set_weight(table, endpoint, chance.choice([0, 1.0, 2.5])),
            lambda: tables.set_weight(table, endpoint, 1.5),
            lambda: tables.set_ejected(endpoint, chance.random() < 0.6),
            lambda: tables.bind_proxy(chance.randrange(4), table, chance.randrange(4)),
            lambda: tables.set_admission_level(
                chance.choice([table, ALL_TABLES]), chance.randrange(4), chance.random(), 1
            ),
            lambda: tables.clear_table(table),
        ]
    )()


def lowest_level(contents, table, group):
    levels = [contents.admission_levels.get(each, {}).get(group) for each in (table, ALL_TABLES)]
    return min((level for level, _ in filter(None, levels)), default=None)


def check_proxies(tables, proxies):
    contents = tables.contents
    for number, state in tables.proxies.items():
        for group, table in state.table_by_group.items():
            weights = contents.weights.get(table, {})
            meant = {e: weight for e, weight in weights.items() if e not in contents.ejected_endpoints}
            assert proxies[number].picks(group) == meant
            level = proxies[number].levels.get(group, (None,))[0]
            assert level == lowest_level(contents, table, group)


@pytest.mark.parametrize("alone", [True, False])
@pytest.mark.parametrize("seed", range(12))
def test_proxies_end_up_with_what_the_commands_mean(seed, alone):
    chance, tables = random.Random(seed), ProxyTables(2, alone)
    proxies = {number: Obedient() for number in range(4)}
    for _ in range(60):
        join_proxies(chance, tables, proxies, alone)
        reconcile(tables)
        for _ in range(chance.randrange(4)):
            give_random_command(chance, tables)
        lost = chance.choice([*tables.proxies, *[None] * 8])
        for number, updates in updates_by_proxy(tables).items():
            if number != lost:
                proxies[number].obey(updates)
        if lost is not None:  # its stream broke before the message came
            tables.remove_proxy(lost)
        reconcile(tables)
        for number, updates in updates_by_proxy(tables).items():
            proxies[number].obey(updates)
        check_proxies(tables, proxies)


def test_a_cycle_builds_messages_only_for_the_proxies_it_concerns(monkeypatch):
    """At full size every round walked all proxies: a core was busy with those of whom nothing was ordered."""
    tables, looked = ProxyTables(2, False), []
    build = MessageBuilder.build_updates
    monkeypatch.setattr(
        MessageBuilder, "build_updates", lambda self, proxy: looked.append(proxy) or build(self, proxy)
    )
    for table in range(10):
        tables.set_weight(table, table, 1.0)
    for proxy in range(1000):
        tables.add_proxy(proxy, proxy % 2 == 0)
        tables.bind_proxy(proxy, proxy % 10)
    assert len(tables.build_messages()) == len(looked) == 1000
    tables.proxies_to_reconcile()
    for order in (
        lambda: tables.set_weight(3, 77, 1.0),
        lambda: tables.set_ejected(3, True),
        lambda: tables.set_admission_level(3, 0, 2.0, 1),
    ):
        looked.clear()
        order()
        assert [message.proxy for message in tables.build_messages()] == list(range(3, 1000, 10)) and len(
            looked
        ) == 100
    tables.set_ejected(3, False)
    assert len(tables.build_messages()) == 100
    assert [p for p, _ in tables.proxies_to_reconcile()] == [p for p in range(1, 1000, 2)]
    tables.remove_proxy(5)
    tables.add_proxy(5, True)
    looked.clear()
    tables.set_ejected(5, True)  # one that is not bound may hold anything
    assert [message.proxy for message in tables.build_messages()][-1] == 5 and len(looked) == 100
