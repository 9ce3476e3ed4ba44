"""The copy of the endpoint list: versions, and the indices of endpoints."""

import pytest
from proxy_messages import updates_by_proxy

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.state.endpoint_registry import INDEX_REUSE_DELAY_US, EndpointRegistry, VersionGapError
from ravenshelf.state.proxy_tables import ProxyTables


def entry(index, state=EndpointState.READY):
    return ListedEndpoint(index, 0, 0, 0, state, 1.0, 0)


GONE = entry(0, EndpointState.GONE)


def two_listed_endpoints():
    registry = EndpointRegistry(lambda: 0, lambda index: False)
    registry.names = ["s-1", "s-2"]
    registry.update(ListKind.REPLACE, 5, [entry(0), entry(1)], {0: "x", 1: "y"})
    return registry


@pytest.mark.parametrize(
    "kind, rev, after, taken, left",
    [
        (ListKind.UPDATE, 6, 5, EndpointsListed(ListKind.UPDATE, (GONE,)), [1]),
        (ListKind.UPDATE, 9, 4, EndpointsListed(ListKind.UPDATE, (GONE,)), [1]),
        (ListKind.UPDATE, 5, 4, None, [0, 1]),  # a watch that a fetched list has overtaken
        (ListKind.REPLACE, 7, None, EndpointsListed(ListKind.REPLACE, (GONE,)), []),
        (ListKind.REPLACE, 5, None, EndpointsListed(ListKind.REPLACE, (GONE,)), []),
        (ListKind.REPLACE, 4, None, None, [0, 1]),  # an older list overwrites nothing
    ],
)
def test_lists_and_changes_are_taken_by_version(kind, rev, after, taken, left):
    registry = two_listed_endpoints()
    assert registry.update(kind, rev, [GONE], {}, after) == taken
    assert sorted(registry.entries) == left == sorted(registry.addresses)


def test_changes_that_start_beyond_the_version_held_are_rejected():
    registry = two_listed_endpoints()
    with pytest.raises(VersionGapError) as raised:
        registry.update(ListKind.UPDATE, 7, [GONE], {}, 6)
    assert (raised.value.current_version, raised.value.after_version) == (5, 6)
    assert sorted(registry.entries) == [0, 1] == sorted(registry.addresses)


@pytest.mark.parametrize(
    "waited, used, index",
    [(INDEX_REUSE_DELAY_US, set(), 1), (INDEX_REUSE_DELAY_US - 1, set(), 3), (INDEX_REUSE_DELAY_US, {1}, 3)],
)
def test_an_index_is_reassigned_only_long_after_its_endpoint_left(waited, used, index):
    now = [1000]
    registry = EndpointRegistry(lambda: now[0], used.__contains__)
    assert [registry.index_of(n) for n in ("s-1", "s-2", "s-1", "s-3")] == [0, 1, 0, 2]
    registry.update(ListKind.REPLACE, 1, [entry(0), entry(1), entry(2)], {})
    registry.update(ListKind.UPDATE, 2, [entry(1, EndpointState.GONE), entry(2, EndpointState.DRAINING)], {})
    now[0] += 5
    registry.update(ListKind.REPLACE, 3, [entry(0), entry(2, EndpointState.DRAINING)], {})
    now[0] += waited - 5
    assert (
        registry.index_of("s-4") == index
        and registry.names[index] == "s-4"
        and registry.index_by_name["s-1"] == 0
    )
    assert ("s-2" in registry.index_by_name) == (index == 3) and len(registry.index_by_name) == len(
        registry.names
    )


def test_a_reassigned_index_carries_no_ejections_and_a_returning_endpoint_is_readmitted():
    now, tables = [1000], ProxyTables(group_count=1, is_only_server=True)
    registry = EndpointRegistry(
        lambda: now[0], tables.has_endpoint, tables.forget_ejections, tables.assume_ejected
    )

    def told(index):
        tables.set_ejected(index, False)
        for proxy in (1, 2):
            tables.set_weight(0, index, 1.0)
            tables.bind_proxy(proxy, 0)
        return [
            (proxy, updates[0].ejected_endpoints, updates[0].readmitted_endpoints)
            for proxy, updates in updates_by_proxy(tables).items()
        ]

    registry.update(ListKind.REPLACE, 1, [entry(registry.index_of("s-1"))], {})
    tables.add_proxy(1, True)
    assert told(0) == [(1, [], [])]
    tables.add_proxy(2, True)  # holds a table of which nothing is known yet: it is told to shut s-1 out
    tables.set_ejected(0, True)
    tables.set_weight(0, 7, 1.0)
    tables.set_weight(0, 0, 0)
    assert updates_by_proxy(tables)[2][0].ejected_endpoints == [0]
    registry.update(ListKind.UPDATE, 2, [entry(0, EndpointState.GONE)], {})
    now[0] += INDEX_REUSE_DELAY_US
    assert registry.index_of("s-2") == 0
    registry.update(ListKind.UPDATE, 3, [entry(0)], {})
    assert told(0) == [(1, [], []), (2, [], [])]  # nobody ever shut out s-2
    registry.update(ListKind.UPDATE, 4, [entry(registry.index_of("s-1"))], {})
    assert registry.index_by_name["s-1"] == 1 and told(1) == [
        (1, [], [1]),
        (2, [], [1]),
    ]  # somebody may shut out s-1 still
