"""The messages that the commands of a control cycle become."""

import pytest
from proxy_messages import parts_by_proxy

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.state.message_part import AdmissionLevel, MessagePart
from ravenshelf.state.proxy_tables import ProxyTables


@pytest.fixture
def tables():
    """Table 0 holds endpoints 0 and 1; proxy 1 is bound to it, proxy 2 to table 1 with endpoint 2 alone."""
    made = ProxyTables(group_count=2, is_only_server=True)
    for proxy in (1, 2):
        made.proxy_joined(proxy, True)
    for endpoint in (0, 1):
        made.set_weight(0, endpoint, 1.5)
    made.set_weight(1, 2, 1.0)
    made.bind_proxy(1, 0)
    made.bind_proxy(2, 1)
    made.request_acknowledgement(3)
    made.first = [(message.proxy, message.parts) for message in made.take_messages()]
    return made


def test_a_bound_proxy_gets_the_complete_table_as_the_cycle_leaves_it(tables):
    assert tables.first == [
        (1, [MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], marker=3)]),
        (2, [MessagePart(is_complete=True, weights=[(2, 1.0)], marker=3)]),
    ]
    assert parts_by_proxy(tables) == {}
    tables.proxy_joined(3, True)
    tables.set_weight(0, 4, 2.0)
    tables.bind_proxy(3, 0)
    tables.set_weight(0, 0, 0)
    assert parts_by_proxy(tables) == {
        1: [MessagePart(weights=[(4, 2.0), (0, 0.0)])],
        3: [MessagePart(is_complete=True, weights=[(1, 1.5), (4, 2.0)])],
    }


def test_changes_go_to_bound_proxies_only_until_their_stream_ends(tables):
    tables.set_weight(1, 2, 3.0)
    assert parts_by_proxy(tables) == {2: [MessagePart(weights=[(2, 3.0)])]}
    tables.proxy_left(2)
    tables.proxy_joined(2, False)
    tables.set_weight(1, 2, 4.0)
    tables.bind_proxy(9, 1)  # has left
    assert parts_by_proxy(tables) == {}


def test_traffic_groups_may_use_different_tables(tables):
    tables.bind_proxy(1, 1, 2)
    assert parts_by_proxy(tables) == {1: [MessagePart((1,), True, [(2, 1.0)])]}
    tables.set_weight(0, 0, 7.0)
    tables.set_weight(1, 2, 8.0)
    assert parts_by_proxy(tables)[1] == [
        MessagePart((0,), weights=[(0, 7.0)]),
        MessagePart((1,), weights=[(2, 8.0)]),
    ]


def test_admission_levels_go_with_complete_tables_and_the_lower_level_applies(tables):
    tables.set_admission_level(0, 1, 5.0, 2)
    assert parts_by_proxy(tables) == {1: [MessagePart((0,), admission_level=AdmissionLevel(5.0, 2))]}
    tables.set_admission_level(ALL_TABLES, 0, 3.0, 1)
    assert parts_by_proxy(tables) == {
        1: [
            MessagePart((0,), admission_level=AdmissionLevel(3.0, 2)),
            MessagePart((1,), admission_level=AdmissionLevel(3.0, 1)),
        ],
        2: [MessagePart(admission_level=AdmissionLevel(3.0, 1))],
    }
    tables.bind_proxy(2, 0)
    assert parts_by_proxy(tables) == {
        2: [
            MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)]),
            MessagePart((0,), admission_level=AdmissionLevel(3.0, 2)),
            MessagePart((1,), admission_level=AdmissionLevel(3.0, 1)),
        ]
    }
    tables.proxy_joined(4, True)
    tables.set_admission_level(ALL_TABLES, 0, 2.0, 0)  # reaches whom no table was given yet
    assert parts_by_proxy(tables)[4] == [MessagePart(admission_level=AdmissionLevel(2.0, 0))]


def test_a_cleared_table_is_sent_complete(tables):
    tables.set_admission_level(0, 0, 5.0, 2)
    parts_by_proxy(tables)
    tables.clear_table(0)
    tables.set_weight(0, 6, 1.0)
    assert parts_by_proxy(tables) == {1: [MessagePart(is_complete=True, weights=[(6, 1.0)])]}


@pytest.mark.parametrize("everyone, whom", [(False, []), (True, [1, 2])])
def test_a_marker_for_everyone_makes_a_message_for_every_proxy(tables, everyone, whom):
    tables.request_acknowledgement(8, everyone)
    assert parts_by_proxy(tables) == {p: [MessagePart(marker=8)] for p in whom}


def test_an_ejection_goes_to_holders_and_to_proxies_with_unknown_tables(tables):
    tables.proxy_joined(3, True)
    tables.set_ejected(0, True)
    assert parts_by_proxy(tables) == {1: [MessagePart(ejected=[0])], 3: [MessagePart(ejected=[0])]}
    tables.set_ejected(0, True)  # it has been said
    assert parts_by_proxy(tables) == {}
    tables.set_ejected(0, False)
    assert parts_by_proxy(tables) == {1: [MessagePart(readmitted=[0])], 3: [MessagePart(readmitted=[0])]}


def test_an_ejection_goes_with_a_table_until_the_endpoint_is_readmitted(tables):
    tables.set_ejected(2, True)
    parts_by_proxy(tables)
    tables.bind_proxy(1, 1)
    assert parts_by_proxy(tables) == {1: [MessagePart(is_complete=True, weights=[(2, 1.0)], ejected=[2])]}
    tables.set_weight(1, 2, 0)
    tables.set_ejected(2, False)
    parts_by_proxy(tables)
    tables.set_weight(1, 2, 1.0)
    assert parts_by_proxy(tables) == {
        p: [MessagePart(weights=[(2, 1.0)])] for p in (1, 2)
    }  # they have let it back already


def test_an_endpoint_that_leaves_the_table_in_the_same_cycle_is_not_ejected(tables):
    tables.set_ejected(0, True)
    tables.set_weight(0, 0, 0)
    assert parts_by_proxy(tables) == {1: [MessagePart(weights=[(0, 0.0)])]}
    tables.set_weight(0, 0, 1.0)  # a line of what is withdrawn says so
    assert parts_by_proxy(tables) == {1: [MessagePart(weights=[(0, 1.0)], ejected=[0])]}
    tables.set_ejected(0, False)
    assert parts_by_proxy(tables) == {1: [MessagePart(readmitted=[0])]}


def test_an_endpoint_ejected_on_an_earlier_stream_is_readmitted(tables):
    tables.set_ejected(0, True)
    parts_by_proxy(tables)
    for fresh in (False, True):  # fresh speaks of tables, not of withdrawals
        tables.proxy_left(1)
        tables.set_ejected(0, False)
        tables.proxy_joined(1, fresh)
        tables.bind_proxy(1, 0)
        assert parts_by_proxy(tables)[1] == [
            MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], readmitted=[0])
        ]


@pytest.mark.parametrize(
    "alone, proxy, fresh, doubts",
    [(True, 5, True, []), (True, 5, False, [0, 1]), (True, 1, False, []), (False, 1, False, [0, 1])],
    ids=["fresh", "after a restart of the pilot", "known, no other pilot", "may have been at another pilot"],
)
def test_possible_ejections_by_other_servers_are_reconciled_later(tables, alone, proxy, fresh, doubts):
    tables.is_only_server = alone
    tables.proxy_left(proxy)
    tables.proxy_joined(proxy, fresh)
    assert tables.possibly_ejected(proxy) == []
    tables.bind_proxy(proxy, 0)
    assert parts_by_proxy(tables)[proxy][0].readmitted == [] and tables.possibly_ejected(proxy) == doubts
    tables.confirm_ejections(proxy, doubts)
    assert (
        parts_by_proxy(tables) == ({proxy: [MessagePart(readmitted=doubts)]} if doubts else {})
        and tables.possibly_ejected(proxy) == []
    )
    tables.set_weight(0, 7, 1.0)
    parts_by_proxy(tables)
    assert tables.possibly_ejected(proxy) == ([7] if doubts else [])


def test_readmission_is_not_sent_where_an_ejection_is_only_possible(tables):
    tables.proxy_joined(5, False)
    tables.bind_proxy(5, 0)
    tables.confirm_ejections(5, tables.possibly_ejected(5))
    parts_by_proxy(tables)
    tables.set_ejected(4, True)
    parts_by_proxy(tables)
    tables.set_ejected(4, False)
    tables.set_weight(0, 4, 1.0)
    assert parts_by_proxy(tables) == {
        p: [MessagePart(weights=[(4, 1.0)])] for p in (1, 5)
    } and tables.possibly_ejected(5) == [4]


def test_an_ejected_endpoint_is_never_readmitted_by_reconciliation(tables):
    tables.set_ejected(1, True)
    tables.proxy_joined(5, False)
    tables.bind_proxy(5, 0)
    assert parts_by_proxy(tables)[5] == [
        MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], ejected=[1])
    ] and tables.possibly_ejected(5) == [0]


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
    parts_by_proxy(tables)
    tables.set_weight(0, 1, 9.0)
    tables.reset()
    assert parts_by_proxy(tables) == {} and not tables.contents.weights
    tables.set_weight(0, 0, 1.0)
    tables.bind_proxy(1, 0)
    assert parts_by_proxy(tables) == {1: [MessagePart(is_complete=True, weights=[(0, 1.0)], readmitted=[0])]}
