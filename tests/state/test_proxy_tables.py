"""The messages that the commands of a control cycle become."""

import pytest
from proxy_messages import updates_by_proxy

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate


@pytest.fixture
def tables():
    """Table 0 holds endpoints 0 and 1; proxy 1 is bound to it, proxy 2 to table 1 with endpoint 2 alone."""
    made = ProxyTables(group_count=2, is_only_server=True)
    for proxy in (1, 2):
        made.add_proxy(proxy, True)
    for endpoint in (0, 1):
        made.set_weight(0, endpoint, 1.5)
    made.set_weight(1, 2, 1.0)
    made.bind_proxy(1, 0)
    made.bind_proxy(2, 1)
    made.request_acknowledgement(3)
    made.first = [(message.proxy, message.updates) for message in made.build_messages()]
    return made


def test_a_bound_proxy_gets_the_complete_table_as_the_cycle_leaves_it(tables):
    assert tables.first == [
        (1, [TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)], marker=3)]),
        (2, [TableUpdate(is_complete=True, weights=[(2, 1.0)], marker=3)]),
    ]
    assert updates_by_proxy(tables) == {}
    tables.add_proxy(3, True)
    tables.set_weight(0, 4, 2.0)
    tables.bind_proxy(3, 0)
    tables.set_weight(0, 0, 0)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(weights=[(4, 2.0), (0, 0.0)])],
        3: [TableUpdate(is_complete=True, weights=[(1, 1.5), (4, 2.0)])],
    }


def test_changes_go_to_bound_proxies_only_until_their_stream_ends(tables):
    tables.set_weight(1, 2, 3.0)
    assert updates_by_proxy(tables) == {2: [TableUpdate(weights=[(2, 3.0)])]}
    tables.remove_proxy(2)
    tables.add_proxy(2, False)
    tables.set_weight(1, 2, 4.0)
    tables.bind_proxy(9, 1)  # has left
    assert updates_by_proxy(tables) == {}


def test_traffic_groups_may_use_different_tables(tables):
    tables.bind_proxy(1, 1, 2)
    assert updates_by_proxy(tables) == {1: [TableUpdate((1,), True, [(2, 1.0)])]}
    tables.set_weight(0, 0, 7.0)
    tables.set_weight(1, 2, 8.0)
    assert updates_by_proxy(tables)[1] == [
        TableUpdate((0,), weights=[(0, 7.0)]),
        TableUpdate((1,), weights=[(2, 8.0)]),
    ]


def test_admission_levels_go_with_complete_tables_and_the_lower_level_applies(tables):
    tables.set_admission_level(0, 1, 5.0, 2)
    assert updates_by_proxy(tables) == {1: [TableUpdate((0,), admission_level=AdmissionLevel(5.0, 2))]}
    tables.set_admission_level(ALL_TABLES, 0, 3.0, 1)
    assert updates_by_proxy(tables) == {
        1: [
            TableUpdate((0,), admission_level=AdmissionLevel(3.0, 2)),
            TableUpdate((1,), admission_level=AdmissionLevel(3.0, 1)),
        ],
        2: [TableUpdate(admission_level=AdmissionLevel(3.0, 1))],
    }
    tables.bind_proxy(2, 0)
    assert updates_by_proxy(tables) == {
        2: [
            TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)]),
            TableUpdate((0,), admission_level=AdmissionLevel(3.0, 2)),
            TableUpdate((1,), admission_level=AdmissionLevel(3.0, 1)),
        ]
    }
    tables.add_proxy(4, True)
    tables.set_admission_level(ALL_TABLES, 0, 2.0, 0)  # reaches whom no table was given yet
    assert updates_by_proxy(tables)[4] == [TableUpdate(admission_level=AdmissionLevel(2.0, 0))]


def test_a_cleared_table_is_sent_complete(tables):
    tables.set_admission_level(0, 0, 5.0, 2)
    updates_by_proxy(tables)
    tables.clear_table(0)
    tables.set_weight(0, 6, 1.0)
    assert updates_by_proxy(tables) == {1: [TableUpdate(is_complete=True, weights=[(6, 1.0)])]}


@pytest.mark.parametrize("everyone, whom", [(False, []), (True, [1, 2])])
def test_a_marker_for_everyone_makes_a_message_for_every_proxy(tables, everyone, whom):
    tables.request_acknowledgement(8, everyone)
    assert updates_by_proxy(tables) == {p: [TableUpdate(marker=8)] for p in whom}


def test_an_ejection_goes_to_holders_and_to_proxies_with_unknown_tables(tables):
    tables.add_proxy(3, True)
    tables.set_ejected(0, True)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(ejected_endpoints=[0])],
        3: [TableUpdate(ejected_endpoints=[0])],
    }
    tables.set_ejected(0, True)  # it has been said
    assert updates_by_proxy(tables) == {}
    tables.set_ejected(0, False)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(readmitted_endpoints=[0])],
        3: [TableUpdate(readmitted_endpoints=[0])],
    }


def test_an_ejection_goes_with_a_table_until_the_endpoint_is_readmitted(tables):
    tables.set_ejected(2, True)
    updates_by_proxy(tables)
    tables.bind_proxy(1, 1)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(is_complete=True, weights=[(2, 1.0)], ejected_endpoints=[2])]
    }
    tables.set_weight(1, 2, 0)
    tables.set_ejected(2, False)
    updates_by_proxy(tables)
    tables.set_weight(1, 2, 1.0)
    assert updates_by_proxy(tables) == {
        p: [TableUpdate(weights=[(2, 1.0)])] for p in (1, 2)
    }  # they have let it back already


def test_an_endpoint_that_leaves_the_table_in_the_same_cycle_is_not_ejected(tables):
    tables.set_ejected(0, True)
    tables.set_weight(0, 0, 0)
    assert updates_by_proxy(tables) == {1: [TableUpdate(weights=[(0, 0.0)])]}
    tables.set_weight(0, 0, 1.0)  # a line of what is withdrawn says so
    assert updates_by_proxy(tables) == {1: [TableUpdate(weights=[(0, 1.0)], ejected_endpoints=[0])]}
    tables.set_ejected(0, False)
    assert updates_by_proxy(tables) == {1: [TableUpdate(readmitted_endpoints=[0])]}


def test_an_endpoint_ejected_on_an_earlier_stream_is_readmitted(tables):
    tables.set_ejected(0, True)
    updates_by_proxy(tables)
    for fresh in (False, True):  # fresh speaks of tables, not of withdrawals
        tables.remove_proxy(1)
        tables.set_ejected(0, False)
        tables.add_proxy(1, fresh)
        tables.bind_proxy(1, 0)
        assert updates_by_proxy(tables)[1] == [
            TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)], readmitted_endpoints=[0])
        ]


@pytest.mark.parametrize(
    "alone, proxy, fresh, doubts",
    [(True, 5, True, []), (True, 5, False, [0, 1]), (True, 1, False, []), (False, 1, False, [0, 1])],
    ids=["fresh", "after a restart of the pilot", "known, no other pilot", "may have been at another pilot"],
)
def test_possible_ejections_by_other_servers_are_reconciled_later(tables, alone, proxy, fresh, doubts):
    tables.is_only_server = alone
    tables.remove_proxy(proxy)
    tables.add_proxy(proxy, fresh)
    assert tables.possible_ejections(proxy) == []
    tables.bind_proxy(proxy, 0)
    assert (
        updates_by_proxy(tables)[proxy][0].readmitted_endpoints == []
        and tables.possible_ejections(proxy) == doubts
    )
    tables.reconcile_ejections(proxy, doubts)
    assert (
        updates_by_proxy(tables) == ({proxy: [TableUpdate(readmitted_endpoints=doubts)]} if doubts else {})
        and tables.possible_ejections(proxy) == []
    )
    tables.set_weight(0, 7, 1.0)
    updates_by_proxy(tables)
    assert tables.possible_ejections(proxy) == ([7] if doubts else [])


def test_readmission_is_not_sent_where_an_ejection_is_only_possible(tables):
    tables.add_proxy(5, False)
    tables.bind_proxy(5, 0)
    tables.reconcile_ejections(5, tables.possible_ejections(5))
    updates_by_proxy(tables)
    tables.set_ejected(4, True)
    updates_by_proxy(tables)
    tables.set_ejected(4, False)
    tables.set_weight(0, 4, 1.0)
    assert updates_by_proxy(tables) == {
        p: [TableUpdate(weights=[(4, 1.0)])] for p in (1, 5)
    } and tables.possible_ejections(5) == [4]


def test_an_ejected_endpoint_is_never_readmitted_by_reconciliation(tables):
    tables.set_ejected(1, True)
    tables.add_proxy(5, False)
    tables.bind_proxy(5, 0)
    assert updates_by_proxy(tables)[5] == [
        TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)], ejected_endpoints=[1])
    ] and tables.possible_ejections(5) == [0]


@pytest.mark.parametrize(
    "order",
    [
        ("set_weight", 0, 1, -1.0),
        ("set_weight", 0, 1, float("nan")),
        ("set_weight", 0, 1, float("inf")),
        ("set_admission_level", 0, 0, -1.0, 1),
        ("set_admission_level", 0, 0, 1.0, 4),
    ],
)
def test_weights_and_levels_out_of_range_are_rejected(tables, order):
    with pytest.raises(ValueError):
        getattr(tables, order[0])(*order[1:])


def test_a_reset_forgets_commands_but_not_what_proxies_hold(tables):
    tables.set_ejected(0, True)
    updates_by_proxy(tables)
    tables.set_weight(0, 1, 9.0)
    tables.reset()
    assert updates_by_proxy(tables) == {} and not tables.contents.weights
    tables.set_weight(0, 0, 1.0)
    tables.bind_proxy(1, 0)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(is_complete=True, weights=[(0, 1.0)], readmitted_endpoints=[0])]
    }
