"""Versions of the endpoint list, and reuse of indices."""

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
    "kind, version, after_version, expected_event, expected_indices",
    [
        (ListKind.UPDATE, 6, 5, EndpointsListed(ListKind.UPDATE, (GONE,)), [1]),
        (ListKind.UPDATE, 9, 4, EndpointsListed(ListKind.UPDATE, (GONE,)), [1]),
        (ListKind.UPDATE, 5, 4, None, [0, 1]),  # the current list contains these changes
        (ListKind.REPLACE, 7, None, EndpointsListed(ListKind.REPLACE, (GONE,)), []),
        (ListKind.REPLACE, 5, None, EndpointsListed(ListKind.REPLACE, (GONE,)), []),
        (ListKind.REPLACE, 4, None, None, [0, 1]),  # an older list is ignored
    ],
)
def test_lists_and_changes_of_older_versions_are_ignored(
    kind, version, after_version, expected_event, expected_indices
):
    registry = two_listed_endpoints()
    assert registry.update(kind, version, [GONE], {}, after_version) == expected_event
    assert sorted(registry.entries) == expected_indices == sorted(registry.addresses)


def test_changes_that_start_after_the_current_version_are_rejected():
    registry = two_listed_endpoints()
    with pytest.raises(VersionGapError) as raised:
        registry.update(ListKind.UPDATE, 7, [GONE], {}, 6)
    assert (raised.value.current_version, raised.value.after_version) == (5, 6)
    assert sorted(registry.entries) == [0, 1] == sorted(registry.addresses)


@pytest.mark.parametrize(
    "elapsed_us, used_indices, expected_index",
    [(INDEX_REUSE_DELAY_US, set(), 1), (INDEX_REUSE_DELAY_US - 1, set(), 3), (INDEX_REUSE_DELAY_US, {1}, 3)],
)
def test_an_index_is_reassigned_only_if_unused_and_long_after_its_endpoint_was_delisted(
    elapsed_us, used_indices, expected_index
):
    now = [1000]
    registry = EndpointRegistry(lambda: now[0], used_indices.__contains__)
    assert [registry.index_of(name) for name in ("s-1", "s-2", "s-1", "s-3")] == [0, 1, 0, 2]
    registry.update(ListKind.REPLACE, 1, [entry(0), entry(1), entry(2)], {})
    registry.update(ListKind.UPDATE, 2, [entry(1, EndpointState.GONE), entry(2, EndpointState.DRAINING)], {})
    now[0] += 5
    registry.update(ListKind.REPLACE, 3, [entry(0), entry(2, EndpointState.DRAINING)], {})
    now[0] += elapsed_us - 5
    assert (
        registry.index_of("s-4") == expected_index
        and registry.names[expected_index] == "s-4"
        and registry.index_by_name["s-1"] == 0
    )
    assert ("s-2" in registry.index_by_name) == (expected_index == 3) and len(registry.index_by_name) == len(
        registry.names
    )


def test_a_reassigned_index_has_no_ejections_and_a_returning_endpoint_is_readmitted():
    now, tables = [1000], ProxyTables(group_count=1, is_only_server=True)
    registry = EndpointRegistry(
        lambda: now[0], tables.has_endpoint, tables.forget_ejections, tables.assume_ejected
    )

    def ejections_after_readmission(index):
        """Readmit the endpoint, send its table and return the ejections and readmissions by proxy."""
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
    assert ejections_after_readmission(0) == [(1, [], [])]
    # Proxy 2 is not bound to a table, so it may use s-1 and is sent the ejection.
    tables.add_proxy(2, True)
    tables.set_ejected(0, True)
    tables.set_weight(0, 7, 1.0)
    tables.set_weight(0, 0, 0)
    assert updates_by_proxy(tables)[2][0].ejected_endpoints == [0]
    registry.update(ListKind.UPDATE, 2, [entry(0, EndpointState.GONE)], {})
    now[0] += INDEX_REUSE_DELAY_US
    assert registry.index_of("s-2") == 0
    registry.update(ListKind.UPDATE, 3, [entry(0)], {})
    # No proxy was sent an ejection of s-2.
    assert ejections_after_readmission(0) == [(1, [], []), (2, [], [])]
    registry.update(ListKind.UPDATE, 4, [entry(registry.index_of("s-1"))], {})
    assert registry.index_by_name["s-1"] == 1 and ejections_after_readmission(1) == [
        (1, [], [1]),
        (2, [], [1]),
    ]  # Any proxy may still have s-1 ejected, so all are sent the readmission.
