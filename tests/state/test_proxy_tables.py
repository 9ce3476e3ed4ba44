"""Messages that result from the commands of a control cycle."""

import pytest
from proxy_messages import updates_by_proxy

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.table_update import AdmissionLevel, TableUpdate


@pytest.fixture
def tables():
    """Proxy tables after a first cycle.

    Table 0 has the endpoints 0 and 1, and proxy 1 is bound to it. Table 1 has endpoint 2, and proxy 2 is
    bound to it.
    """
    proxy_tables = ProxyTables(group_count=2, is_only_server=True)
    for proxy in (1, 2):
        proxy_tables.add_proxy(proxy, True)
    for endpoint in (0, 1):
        proxy_tables.set_weight(0, endpoint, 1.5)
    proxy_tables.set_weight(1, 2, 1.0)
    proxy_tables.bind_proxy(1, 0)
    proxy_tables.bind_proxy(2, 1)
    proxy_tables.request_acknowledgement(3)
    proxy_tables.first_updates = [
        (message.proxy, message.updates) for message in proxy_tables.build_messages()
    ]
    return proxy_tables


def test_a_bound_proxy_is_sent_the_complete_table_as_of_the_end_of_the_cycle(tables):
    assert tables.first_updates == [
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


def test_changes_are_sent_to_bound_proxies_until_their_stream_ends(tables):
    tables.set_weight(1, 2, 3.0)
    assert updates_by_proxy(tables) == {2: [TableUpdate(weights=[(2, 3.0)])]}
    tables.remove_proxy(2)
    tables.add_proxy(2, False)
    tables.set_weight(1, 2, 4.0)
    tables.bind_proxy(9, 1)  # proxy 9 is not joined
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


def test_admission_levels_are_sent_with_complete_tables_and_the_lower_level_applies(tables):
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
    # The level is also sent to proxies without a table.
    tables.set_admission_level(ALL_TABLES, 0, 2.0, 0)
    assert updates_by_proxy(tables)[4] == [TableUpdate(admission_level=AdmissionLevel(2.0, 0))]


def test_a_cleared_table_is_sent_complete(tables):
    tables.set_admission_level(0, 0, 5.0, 2)
    updates_by_proxy(tables)
    tables.clear_table(0)
    tables.set_weight(0, 6, 1.0)
    assert updates_by_proxy(tables) == {1: [TableUpdate(is_complete=True, weights=[(6, 1.0)])]}


@pytest.mark.parametrize("all_proxies, receivers", [(False, []), (True, [1, 2])])
def test_a_marker_for_all_proxies_causes_a_message_to_every_proxy(tables, all_proxies, receivers):
    tables.request_acknowledgement(8, all_proxies)
    assert updates_by_proxy(tables) == {proxy: [TableUpdate(marker=8)] for proxy in receivers}


def test_an_ejection_is_sent_to_proxies_that_use_the_endpoint_or_have_unknown_tables(tables):
    tables.add_proxy(3, True)
    tables.set_ejected(0, True)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(ejected_endpoints=[0])],
        3: [TableUpdate(ejected_endpoints=[0])],
    }
    tables.set_ejected(0, True)  # The ejection was sent before.
    assert updates_by_proxy(tables) == {}
    tables.set_ejected(0, False)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(readmitted_endpoints=[0])],
        3: [TableUpdate(readmitted_endpoints=[0])],
    }


def test_an_ejection_is_sent_with_a_table_until_the_endpoint_is_readmitted(tables):
    tables.set_ejected(2, True)
    updates_by_proxy(tables)
    tables.bind_proxy(1, 1)
    assert updates_by_proxy(tables) == {
        1: [TableUpdate(is_complete=True, weights=[(2, 1.0)], ejected_endpoints=[2])]
    }
    tables.set_ejected(2, False)
    assert updates_by_proxy(tables) == {proxy: [TableUpdate(readmitted_endpoints=[2])] for proxy in (1, 2)}


def test_a_readmission_outside_of_a_proxys_tables_is_sent_with_the_endpoints_next_weight(tables):
    """Guards against messages to proxies that the controller charges no message for."""
    tables.bind_proxy(1, 1)
    tables.set_ejected(2, True)
    updates_by_proxy(tables)
    tables.set_weight(1, 2, 0)
    updates_by_proxy(tables)
    tables.set_ejected(2, False)
    assert updates_by_proxy(tables) == {}
    tables.set_weight(1, 2, 1.0)
    assert updates_by_proxy(tables) == {
        proxy: [TableUpdate(weights=[(2, 1.0)], readmitted_endpoints=[2])] for proxy in (1, 2)
    }
    tables.set_weight(1, 2, 2.0)
    assert updates_by_proxy(tables) == {proxy: [TableUpdate(weights=[(2, 2.0)])] for proxy in (1, 2)}


def test_an_endpoint_removed_from_the_table_in_the_same_cycle_is_not_ejected(tables):
    tables.set_ejected(0, True)
    tables.set_weight(0, 0, 0)
    assert updates_by_proxy(tables) == {1: [TableUpdate(weights=[(0, 0.0)])]}
    tables.set_weight(0, 0, 1.0)  # the ejection is sent with the new weight
    assert updates_by_proxy(tables) == {1: [TableUpdate(weights=[(0, 1.0)], ejected_endpoints=[0])]}
    tables.set_ejected(0, False)
    assert updates_by_proxy(tables) == {1: [TableUpdate(readmitted_endpoints=[0])]}


def test_an_endpoint_ejected_on_an_earlier_stream_is_readmitted(tables):
    tables.set_ejected(0, True)
    updates_by_proxy(tables)
    # A fresh proxy has no table, but it may still have ejected endpoints.
    for is_fresh in (False, True):
        tables.remove_proxy(1)
        tables.set_ejected(0, False)
        tables.add_proxy(1, is_fresh)
        tables.bind_proxy(1, 0)
        assert updates_by_proxy(tables)[1] == [
            TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)], readmitted_endpoints=[0])
        ]


@pytest.mark.parametrize(
    "has_no_other_server, proxy, is_fresh, expected_endpoints",
    [(True, 5, True, []), (True, 5, False, [0, 1]), (True, 1, False, []), (False, 1, False, [0, 1])],
    ids=[
        "fresh",
        "after a restart of the server",
        "joined before, no other server",
        "may have joined another server",
    ],
)
def test_possible_ejections_by_other_servers_are_reconciled_later(
    tables, has_no_other_server, proxy, is_fresh, expected_endpoints
):
    tables.is_only_server = has_no_other_server
    tables.remove_proxy(proxy)
    tables.add_proxy(proxy, is_fresh)
    assert tables.possible_ejections(proxy) == []
    tables.bind_proxy(proxy, 0)
    assert (
        updates_by_proxy(tables)[proxy][0].readmitted_endpoints == []
        and tables.possible_ejections(proxy) == expected_endpoints
    )
    tables.reconcile_ejections(proxy, expected_endpoints)
    assert (
        updates_by_proxy(tables)
        == ({proxy: [TableUpdate(readmitted_endpoints=expected_endpoints)]} if expected_endpoints else {})
        and tables.possible_ejections(proxy) == []
    )
    tables.set_weight(0, 7, 1.0)
    updates_by_proxy(tables)
    assert tables.possible_ejections(proxy) == ([7] if expected_endpoints else [])


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
        proxy: [TableUpdate(weights=[(4, 1.0)])] for proxy in (1, 5)
    } and tables.possible_ejections(5) == [4]


def test_an_ejected_endpoint_is_never_readmitted_by_reconciliation(tables):
    tables.set_ejected(1, True)
    tables.add_proxy(5, False)
    tables.bind_proxy(5, 0)
    assert updates_by_proxy(tables)[5] == [
        TableUpdate(is_complete=True, weights=[(0, 1.5), (1, 1.5)], ejected_endpoints=[1])
    ] and tables.possible_ejections(5) == [0]


@pytest.mark.parametrize(
    "command",
    [
        ("set_weight", 0, 1, -1.0),
        ("set_weight", 0, 1, float("nan")),
        ("set_weight", 0, 1, float("inf")),
        ("set_admission_level", 0, 0, -1.0, 1),
        ("set_admission_level", 0, 0, 1.0, 4),
    ],
)
def test_weights_and_levels_out_of_range_are_rejected(tables, command):
    with pytest.raises(ValueError):
        getattr(tables, command[0])(*command[1:])


def test_a_reset_discards_commands_but_keeps_the_ejections_at_proxies(tables):
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
