import random

import pytest

from ravenshelf.policy.commands import ALL_TABLES
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.state.endpoint_registry import INDEX_REST_US, EndpointRegistry, VersionGapError
from ravenshelf.state.message_building import MessageBuilder
from ravenshelf.state.message_part import AdmissionLevel, MessagePart
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.slots import SlotTable


def test_slots_are_given_again_and_run_out():
    slots = SlotTable(2)
    assert [slots.acquire("a"), slots.acquire("b"), slots.acquire("c")] == [0, 1, None]
    slots.release(0)
    slots.release(0)
    slots.release(None)
    assert (slots.acquire("d"), len(slots), slots.get(0), slots.get(7)) == (0, 2, "d", None)


def test_deadlines_come_in_order_and_once():
    deadlines, chance = DeadlineQueue(), random.Random(3)
    for n in range(2000):  # moved over and over: what no longer counts must not pile up
        deadlines.set(n % 20, chance.randrange(1000, 2000))
    for n in range(20):
        deadlines.set(n, 500 - n)
    deadlines.cancel(3)
    assert deadlines.earliest() == 481 and len(deadlines.heap) < 200
    assert list(deadlines.take_expired(490)) == [19, 18, 17, 16, 15, 14, 13, 12, 11, 10]
    assert (
        list(deadlines.take_expired(10_000)) == [9, 8, 7, 6, 5, 4, 2, 1, 0] and deadlines.earliest() is None
    )


def test_a_deadline_dropped_or_moved_by_one_due_with_it_is_not_met():
    deadlines = DeadlineQueue()
    for n in range(4):
        deadlines.set(n, 10 + n)
    met = []
    for key in deadlines.take_expired(20):
        met.append(key)
        if key == 0:
            deadlines.cancel(1)
            deadlines.set(2, 30)
            deadlines.set("new", 5)  # set meanwhile: it waits for the next call, past as it is
    assert (
        met == [0, 3]
        and list(deadlines.take_expired(20)) == ["new"]
        and list(deadlines.take_expired(30)) == [2]
    )


def test_buffers_have_one_size_and_are_used_again():
    buffers = BufferPool()
    first = buffers.lend()
    assert len(first) == BUFFER_BYTES and buffers.lend() is not first
    buffers.give_back(first)
    assert buffers.lend() is first


def test_counters_keep_the_most():
    counters = Counters(b=2)
    counters.record_maximum("a", 5)
    counters.record_maximum("a", 3)
    assert counters.text() == "a=5 b=2"


def entry(index, state=EndpointState.READY):
    return ListedEndpoint(index, 0, 0, 0, state, 1.0, 0)


GONE = entry(0, EndpointState.GONE)


def two_listed():
    listing = EndpointRegistry(lambda: 0, lambda index: False)
    listing.names = ["s-1", "s-2"]
    listing.update(ListKind.REPLACE, 5, [entry(0), entry(1)], {0: "x", 1: "y"})
    return listing


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
def test_the_list_is_followed_by_version(kind, rev, after, taken, left):
    listing = two_listed()
    assert listing.update(kind, rev, [GONE], {}, after) == taken
    assert sorted(listing.entries) == left == sorted(listing.addresses)


def test_changes_that_start_beyond_the_version_held_are_refused():
    listing = two_listed()
    with pytest.raises(VersionGapError) as raised:
        listing.update(ListKind.UPDATE, 7, [GONE], {}, 6)
    assert (raised.value.held_version, raised.value.after_version) == (5, 6)
    assert sorted(listing.entries) == [0, 1] == sorted(listing.addresses)


@pytest.mark.parametrize(
    "waited, used, index", [(INDEX_REST_US, set(), 1), (INDEX_REST_US - 1, set(), 3), (INDEX_REST_US, {1}, 3)]
)
def test_an_endpoint_keeps_its_index_until_it_has_long_gone(waited, used, index):
    now = [1000]
    listing = EndpointRegistry(lambda: now[0], used.__contains__)
    assert [listing.index_of(n) for n in ("s-1", "s-2", "s-1", "s-3")] == [0, 1, 0, 2]
    listing.update(ListKind.REPLACE, 1, [entry(0), entry(1), entry(2)], {})
    listing.update(ListKind.UPDATE, 2, [entry(1, EndpointState.GONE), entry(2, EndpointState.DRAINING)], {})
    now[0] += 5
    listing.update(ListKind.REPLACE, 3, [entry(0), entry(2, EndpointState.DRAINING)], {})
    now[0] += waited - 5
    assert (
        listing.index_of("s-4") == index
        and listing.names[index] == "s-4"
        and listing.index_by_name["s-1"] == 0
    )
    assert ("s-2" in listing.index_by_name) == (index == 3) and len(listing.index_by_name) == len(
        listing.names
    )


def test_a_number_given_to_another_endpoint_brings_nothing_of_the_one_before_and_that_one_is_let_back_when_it_returns():
    now, sent = [1000], ProxyTables(group_count=1, is_only_server=True)
    listing = EndpointRegistry(
        lambda: now[0], sent.has_endpoint, sent.index_reassigned, sent.endpoint_returned
    )

    def told(index):
        sent.set_ejected(index, False)
        for proxy in (1, 2):
            sent.set_weight(0, index, 1.0)
            sent.bind_proxy(proxy, 0)
        return [(proxy, parts[0].ejected, parts[0].readmitted) for proxy, parts in said(sent).items()]

    listing.update(ListKind.REPLACE, 1, [entry(listing.index_of("s-1"))], {})
    sent.proxy_joined(1, True)
    assert told(0) == [(1, [], [])]
    sent.proxy_joined(2, True)  # holds a table of which nothing is known yet: it is told to shut s-1 out
    sent.set_ejected(0, True)
    sent.set_weight(0, 7, 1.0)
    sent.set_weight(0, 0, 0)
    assert said(sent)[2][0].ejected == [0]
    listing.update(ListKind.UPDATE, 2, [entry(0, EndpointState.GONE)], {})
    now[0] += INDEX_REST_US
    assert listing.index_of("s-2") == 0
    listing.update(ListKind.UPDATE, 3, [entry(0)], {})
    assert told(0) == [(1, [], []), (2, [], [])]  # nobody ever shut out s-2
    listing.update(ListKind.UPDATE, 4, [entry(listing.index_of("s-1"))], {})
    assert listing.index_by_name["s-1"] == 1 and told(1) == [
        (1, [], [1]),
        (2, [], [1]),
    ]  # somebody may shut out s-1 still


# --- the writer ---


@pytest.fixture
def sent():
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


def said(sent):
    return {message.proxy: message.parts for message in sent.take_messages()}


def test_a_bind_is_the_whole_table_as_the_round_leaves_it(sent):
    assert sent.first == [
        (1, [MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], marker=3)]),
        (2, [MessagePart(is_complete=True, weights=[(2, 1.0)], marker=3)]),
    ]
    assert said(sent) == {}
    sent.proxy_joined(3, True)
    sent.set_weight(0, 4, 2.0)
    sent.bind_proxy(3, 0)
    sent.set_weight(0, 0, 0)
    assert said(sent) == {
        1: [MessagePart(weights=[(4, 2.0), (0, 0.0)])],
        3: [MessagePart(is_complete=True, weights=[(1, 1.5), (4, 2.0)])],
    }


def test_changes_go_to_bound_proxies_alone_and_end_with_the_stream(sent):
    sent.set_weight(1, 2, 3.0)
    assert said(sent) == {2: [MessagePart(weights=[(2, 3.0)])]}
    sent.proxy_left(2)
    sent.proxy_joined(2, False)
    sent.set_weight(1, 2, 4.0)
    sent.bind_proxy(9, 1)  # has left
    assert said(sent) == {}


def test_groups_on_tables_of_their_own(sent):
    sent.bind_proxy(1, 1, 2)
    assert said(sent) == {1: [MessagePart((1,), True, [(2, 1.0)])]}
    sent.set_weight(0, 0, 7.0)
    sent.set_weight(1, 2, 8.0)
    assert said(sent)[1] == [MessagePart((0,), weights=[(0, 7.0)]), MessagePart((1,), weights=[(2, 8.0)])]


def test_levels_travel_with_whole_tables_and_the_lower_wins(sent):
    sent.set_admission_level(0, 1, 5.0, 2)
    assert said(sent) == {1: [MessagePart((0,), admission_level=AdmissionLevel(5.0, 2))]}
    sent.set_admission_level(ALL_TABLES, 0, 3.0, 1)
    assert said(sent) == {
        1: [
            MessagePart((0,), admission_level=AdmissionLevel(3.0, 2)),
            MessagePart((1,), admission_level=AdmissionLevel(3.0, 1)),
        ],
        2: [MessagePart(admission_level=AdmissionLevel(3.0, 1))],
    }
    sent.bind_proxy(2, 0)
    assert said(sent) == {
        2: [
            MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)]),
            MessagePart((0,), admission_level=AdmissionLevel(3.0, 2)),
            MessagePart((1,), admission_level=AdmissionLevel(3.0, 1)),
        ]
    }
    sent.proxy_joined(4, True)
    sent.set_admission_level(ALL_TABLES, 0, 2.0, 0)  # reaches whom no table was given yet
    assert said(sent)[4] == [MessagePart(admission_level=AdmissionLevel(2.0, 0))]


def test_a_table_that_is_cleared_is_sent_whole(sent):
    sent.set_admission_level(0, 0, 5.0, 2)
    said(sent)
    sent.clear_table(0)
    sent.set_weight(0, 6, 1.0)
    assert said(sent) == {1: [MessagePart(is_complete=True, weights=[(6, 1.0)])]}


@pytest.mark.parametrize("everyone, whom", [(False, []), (True, [1, 2])])
def test_a_mark_for_everyone_makes_a_message(sent, everyone, whom):
    sent.request_acknowledgement(8, everyone)
    assert said(sent) == {p: [MessagePart(marker=8)] for p in whom}


def test_a_withdrawal_reaches_who_holds_it_and_who_holds_the_unknown(sent):
    sent.proxy_joined(3, True)
    sent.set_ejected(0, True)
    assert said(sent) == {1: [MessagePart(ejected=[0])], 3: [MessagePart(ejected=[0])]}
    sent.set_ejected(0, True)  # it has been said
    assert said(sent) == {}
    sent.set_ejected(0, False)
    assert said(sent) == {1: [MessagePart(readmitted=[0])], 3: [MessagePart(readmitted=[0])]}


def test_a_withdrawal_travels_with_a_table_until_it_ends(sent):
    sent.set_ejected(2, True)
    said(sent)
    sent.bind_proxy(1, 1)
    assert said(sent) == {1: [MessagePart(is_complete=True, weights=[(2, 1.0)], ejected=[2])]}
    sent.set_weight(1, 2, 0)
    sent.set_ejected(2, False)
    said(sent)
    sent.set_weight(1, 2, 1.0)
    assert said(sent) == {
        p: [MessagePart(weights=[(2, 1.0)])] for p in (1, 2)
    }  # they have let it back already


def test_what_leaves_the_table_at_once_needs_no_withdrawal(sent):
    sent.set_ejected(0, True)
    sent.set_weight(0, 0, 0)
    assert said(sent) == {1: [MessagePart(weights=[(0, 0.0)])]}
    sent.set_weight(0, 0, 1.0)  # a line of what is withdrawn says so
    assert said(sent) == {1: [MessagePart(weights=[(0, 1.0)], ejected=[0])]}
    sent.set_ejected(0, False)
    assert said(sent) == {1: [MessagePart(readmitted=[0])]}


def test_what_was_shut_out_on_an_earlier_stream_is_let_back(sent):
    sent.set_ejected(0, True)
    said(sent)
    for fresh in (False, True):  # fresh speaks of tables, not of withdrawals
        sent.proxy_left(1)
        sent.set_ejected(0, False)
        sent.proxy_joined(1, fresh)
        sent.bind_proxy(1, 0)
        assert said(sent)[1] == [MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], readmitted=[0])]


@pytest.mark.parametrize(
    "alone, proxy, fresh, doubts",
    [(True, 5, True, []), (True, 5, False, [0, 1]), (True, 1, False, []), (False, 1, False, [0, 1])],
    ids=["fresh", "after a restart of the pilot", "known, no other pilot", "may have been at another pilot"],
)
def test_what_may_be_shut_out_by_others_is_let_back_later(sent, alone, proxy, fresh, doubts):
    sent.is_only_server = alone
    sent.proxy_left(proxy)
    sent.proxy_joined(proxy, fresh)
    assert sent.possibly_ejected(proxy) == []
    sent.bind_proxy(proxy, 0)
    assert said(sent)[proxy][0].readmitted == [] and sent.possibly_ejected(proxy) == doubts
    sent.confirm_ejections(proxy, doubts)
    assert (
        said(sent) == ({proxy: [MessagePart(readmitted=doubts)]} if doubts else {})
        and sent.possibly_ejected(proxy) == []
    )
    sent.set_weight(0, 7, 1.0)
    said(sent)
    assert sent.possibly_ejected(proxy) == ([7] if doubts else [])


def test_the_return_of_an_endpoint_says_nothing_to_those_of_whom_there_is_but_a_doubt(sent):
    sent.proxy_joined(5, False)
    sent.bind_proxy(5, 0)
    sent.confirm_ejections(5, sent.possibly_ejected(5))
    said(sent)
    sent.set_ejected(4, True)
    said(sent)
    sent.set_ejected(4, False)
    sent.set_weight(0, 4, 1.0)
    assert said(sent) == {p: [MessagePart(weights=[(4, 1.0)])] for p in (1, 5)} and sent.possibly_ejected(
        5
    ) == [4]


def test_what_is_withdrawn_is_never_let_back_by_a_doubt(sent):
    sent.set_ejected(1, True)
    sent.proxy_joined(5, False)
    sent.bind_proxy(5, 0)
    assert said(sent)[5] == [
        MessagePart(is_complete=True, weights=[(0, 1.5), (1, 1.5)], ejected=[1])
    ] and sent.possibly_ejected(5) == [0]


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
def test_figures_that_no_proxy_takes_are_refused(sent, order):
    with pytest.raises(ValueError):
        getattr(sent, order[0])(*order[1:])


def test_a_start_over_forgets_orders_but_not_what_proxies_hold(sent):
    sent.set_ejected(0, True)
    said(sent)
    sent.set_weight(0, 1, 9.0)
    sent.reset()
    assert said(sent) == {} and not sent.contents.weights
    sent.set_weight(0, 0, 1.0)
    sent.bind_proxy(1, 0)
    assert said(sent) == {1: [MessagePart(is_complete=True, weights=[(0, 1.0)], readmitted=[0])]}


# --- the writer against the meaning of its orders ---


class Obedient:
    """A proxy that does as messages say and keeps what it holds when its stream breaks."""

    def __init__(self):
        self.lines, self.levels, self.out = {0: {9: 1.0}, 1: {9: 1.0}}, {}, set()

    def obey(self, parts):
        for part in parts:
            for g in part.groups or (0, 1):
                if part.is_complete:
                    self.lines[g], self.levels = {}, {k: v for k, v in self.levels.items() if k != g}
                self.lines[g] = {e: w for e, w in {**self.lines[g], **dict(part.weights)}.items() if w}
                if part.admission_level:
                    self.levels[g] = part.admission_level
            self.out = (self.out | set(part.ejected)) - set(part.readmitted)

    def picks(self, group):
        return {e: w for e, w in self.lines[group].items() if e not in self.out}


@pytest.mark.parametrize("alone", [True, False])
@pytest.mark.parametrize("seed", range(12))
def test_proxies_end_up_with_what_the_orders_mean(seed, alone):
    chance, sent = random.Random(seed), ProxyTables(2, alone)
    proxies = {p: Obedient() for p in range(4)}
    for _ in range(60):
        for p, proxy in proxies.items():
            if p not in sent.proxies and chance.random() < 0.5:
                if not alone:  # another pilot had it meanwhile
                    proxy.obey([MessagePart(ejected=chance.sample(range(6), 2), readmitted=[])])
                fresh = p not in sent.ever_ejected and alone
                sent.proxy_joined(p, fresh)
        for p in sent.proxies:
            sent.confirm_ejections(p, sent.possibly_ejected(p))
        for _ in range(chance.randrange(4)):
            table, endpoint = chance.randrange(3), chance.randrange(6)
            chance.choice(
                [
                    lambda: sent.set_weight(table, endpoint, chance.choice([0, 1.0, 2.5])),
                    lambda: sent.set_weight(table, endpoint, 1.5),
                    lambda: sent.set_ejected(endpoint, chance.random() < 0.6),
                    lambda: sent.bind_proxy(chance.randrange(4), table, chance.randrange(4)),
                    lambda: sent.set_admission_level(
                        chance.choice([table, ALL_TABLES]), chance.randrange(4), chance.random(), 1
                    ),
                    lambda: sent.clear_table(table),
                ]
            )()
        lost = chance.choice([*sent.proxies, *[None] * 8])
        for p, parts in said(sent).items():
            if p != lost:
                proxies[p].obey(parts)
        if lost is not None:  # its stream broke before the message came
            sent.proxy_left(lost)
        for p in sent.proxies:
            sent.confirm_ejections(p, sent.possibly_ejected(p))
        for p, parts in said(sent).items():
            proxies[p].obey(parts)
        for p, held in sent.proxies.items():
            for g, table in held.table_by_group.items():
                meant = {
                    e: w
                    for e, w in sent.contents.weights.get(table, {}).items()
                    if e not in sent.contents.ejected
                }
                assert proxies[p].picks(g) == meant
                levels = [sent.contents.admission_levels.get(t, {}).get(g) for t in (table, ALL_TABLES)]
                lowest = min((level for level, _ in filter(None, levels)), default=None)
                assert proxies[p].levels.get(g, (None,))[0] == lowest


def test_a_round_looks_only_at_the_proxies_that_it_concerns(monkeypatch):
    """At full size every round walked all proxies: a core was busy with those of whom nothing was ordered."""
    sent, looked = ProxyTables(2, False), []
    build = MessageBuilder.parts
    monkeypatch.setattr(
        MessageBuilder, "parts", lambda self, proxy: looked.append(proxy) or build(self, proxy)
    )
    for table in range(10):
        sent.set_weight(table, table, 1.0)
    for proxy in range(1000):
        sent.proxy_joined(proxy, proxy % 2 == 0)
        sent.bind_proxy(proxy, proxy % 10)
    assert len(sent.take_messages()) == len(looked) == 1000
    sent.proxies_to_reconcile()
    for order in (
        lambda: sent.set_weight(3, 77, 1.0),
        lambda: sent.set_ejected(3, True),
        lambda: sent.set_admission_level(3, 0, 2.0, 1),
    ):
        looked.clear()
        order()
        assert [message.proxy for message in sent.take_messages()] == list(range(3, 1000, 10)) and len(
            looked
        ) == 100
    sent.set_ejected(3, False)
    assert len(sent.take_messages()) == 100
    assert [p for p, _ in sent.proxies_to_reconcile()] == [p for p in range(1, 1000, 2)]
    sent.proxy_left(5)
    sent.proxy_joined(5, True)
    looked.clear()
    sent.set_ejected(5, True)  # one that is not bound may hold anything
    assert [message.proxy for message in sent.take_messages()][-1] == 5 and len(looked) == 100
