"""The calls into the decisions and the writer they order through. No decision stands here.

A controller is made with `Controller(provisioning, seed)` and called as `round(now, news, orders)`:
`now` is the batch's clock in whole microseconds, `news` a list of (call name, values) tuples in the order
in which they came in, `orders` a writer with the methods of `Orders`. Endpoints, proxies, zones and traffic
groups are small whole numbers given out at the door.

| call name | values |
| --- | --- |
| listed | "update", "replace" or "restored", entries of (endpoint, zone, kind, cell, state, weight, start) |
| list_failed | none: a call to discovery failed, the old list still holds |
| joined | proxy, zone, usual flows a second, whether it holds only its standing tables |
| left | proxy; then True where this pilot ended its stream: what waits for it goes on counting |
| heard | zone of the proxies, endpoint, tries, dropped, mean latency, window, load report (maybe empty) |
| asked | proxy, traffic group, flows, flows let in without an answer, window |
| applied | proxy, mark, time from the order to its effect |
| probed | endpoint, whether it answered, time it took, load report |
| noticed | endpoint, share of its machine that is busy (0 to 1), age of that in microseconds |
| told | peer, bytes |
| woken | the key given to `wake` |
| granted, stored | slices: (slice, on), (slice, endpoint, weight) |
| slice_asked | slice, traffic group, flows, unanswered, window |
"""

from typing import Protocol

STATES = ("ready", "draining", "gone")
RETRIABLE, DEDUPED, NON_RETRIABLE = "retriable", "deduped", "non-retriable"
NO_TRY, AFTER_PROOF, AFTER_ANY, TWICE_AFTER_ANY = 0, 1, 2, 3
EVERYWHERE = 65535  # the table number under which a level is set for all joined proxies


class Orders(Protocol):
    """Where decisions are written; each call takes effect at the round's time, in the order made."""

    def line(self, table: int, endpoint: int, weight: float) -> None: ...
    def clear(self, table: int) -> None: ...
    def bench(self, endpoint: int, out: bool) -> None: ...
    def bind(self, proxy: int, table: int, groups: int = 0) -> None: ...
    def level(self, table: int, groups: int, level: float, tries: int) -> None: ...
    def mark(self, number: int, everyone: bool = False) -> None: ...
    def wake(self, at: int, key: str) -> None: ...
    def observe(self, on: bool) -> None: ...
    def fetch(self) -> None: ...
    def probe(self, endpoint: int) -> None: ...
    def tell(self, peer: int | None, octets: bytes) -> None: ...
    def log(self, text: str) -> None: ...
