"""The codec of the proxies' protocol: lines of streams and collectors into events, message parts into lines.

The words of the wire stand here alone.
"""

from collections.abc import Callable, Iterable, Sequence

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import BatchAcknowledged, DemandReport, LoadReport, ProxyJoined
from ravenshelf.settings import Settings
from ravenshelf.state.message_part import MessagePart

# what load reports on streams call the columns of the settings' telemetry
LOAD_WORDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}

MOST_LINE = 1024 * 1024  # a message holds no more
MOST_PARTS = 64
MOST_FIGURE = 2.0**32  # beyond any count or time that is meant
MOST_SPAN = 600_000.0  # ms: beyond any window that a report is counted over
NOISE = 4  # a reported mean may lie so far over what is true
BEGINNING_BYTES = 12  # of a line: more than any kind of message has
PING = "PING"
PONG = b"PONG\r\n"
SUBSCRIBE = "SUBSCRIBE"  # a proxy joins
SOURCE = "SOURCE"  # a collector says which zone its load reports are of
LOAD = "LOAD"  # a load report
RATE = "RATE"  # a demand report
ACK = "ACK"  # an acknowledgement
KINDS = (SUBSCRIBE, SOURCE, LOAD, RATE, ACK, PING)


class MalformedMessageError(RavenshelfError):
    """A message of a known kind that is malformed; the text says what was expected."""


class UnreadableConnectionError(MalformedMessageError):
    """No message at all, or one that is not valid on its connection, which is of no further use."""


def words(line: bytes) -> tuple[str, list[str]]:
    """Return the kind of a message and its words; raises UnreadableConnectionError."""
    try:
        kind, *rest = line.decode("utf-8").split()
    except (UnicodeDecodeError, ValueError) as why:
        raise UnreadableConnectionError("expected a kind and words in UTF-8") from why
    if kind not in KINDS:
        raise UnreadableConnectionError("expected a kind of message that is known")
    return kind, rest


def named(words: list[str]) -> dict[str, str]:
    """Return the fields of a message by name; raises MalformedMessageError where a name comes twice."""
    said = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name or name in said:
            raise MalformedMessageError(f"expected name=value, each name once, not {word[:40]!r}")
        said[name] = value
    return said


def may_begin(rest: bytes | bytearray) -> bool:
    """Return whether a message may begin so; a guard against lines without end."""
    first, space, _ = bytes(rest[:BEGINNING_BYTES]).partition(b" ")
    word = first.rstrip(b"\r").decode("latin-1")
    return word in KINDS if space else any(kind.startswith(word) for kind in KINDS)


def number(said: dict[str, str], name: str, most: float = MOST_FIGURE) -> float:
    """Return a field that is a number from 0 to `most`; raises MalformedMessageError."""
    try:
        value = float(said[name])
    except KeyError as why:
        raise MalformedMessageError(f"expected {name}=") from why
    except ValueError as why:
        raise MalformedMessageError(f"expected a number as {name}, not {said[name][:40]!r}") from why
    if not 0 <= value <= most:
        raise MalformedMessageError(f"expected {name} from 0 to {most:g}, not {said[name][:40]!r}")
    return value


def whole(said: dict[str, str], name: str, beyond: int | None = None) -> int:
    """Return a field that is a whole number, below `beyond` where that is given."""
    value = number(said, name)
    if value != int(value) or (beyond is not None and value >= beyond):
        raise MalformedMessageError(
            f"expected a whole number{f' below {beyond}' if beyond else ''} as {name}, not {value:g}"
        )
    return int(value)


def micros(said: dict[str, str], name: str, most: float = MOST_SPAN) -> int:
    """Return a field that is in milliseconds, as microseconds."""
    return round(number(said, name, most) * 1000)


def counted(said: dict[str, str]) -> tuple[int, int, int]:
    """Return attempts, how many of them failed, and the window that they were counted over (us)."""
    tries, failed, span = whole(said, "tries"), whole(said, "failed"), micros(said, "span_ms")
    if not span:
        raise MalformedMessageError("expected span_ms above 0")
    return tries, failed, span


def flag(said: dict[str, str], name: str) -> bool:
    """Return a field that is 0 or 1."""
    if said.get(name) not in ("0", "1"):
        raise MalformedMessageError(f"expected 0 or 1 as {name}")
    return said[name] == "1"


def load_report(pairs: Iterable[tuple[str, str]], columns: Sequence[str]) -> tuple[float, ...]:
    """Return the load columns in the settings' order; () where one is missing or malformed."""
    had = {}
    for name, text in pairs:
        try:
            value = float(text)
        except ValueError:
            return ()
        if not 0 <= value <= MOST_FIGURE:
            return ()
        had[LOAD_WORDS.get(name, name)] = value
    wanted = [had.get(LOAD_WORDS.get(c, c)) for c in columns]
    return tuple(value for value in wanted if value is not None) if None not in wanted else ()


def checks_terms(said: dict[str, str]) -> bool:
    """Return whether a proxy that joins rejects orders of an older term."""
    return said.get("term") == "1"


def pairs(text: str, between: str) -> list[tuple[str, str]]:
    """Return the names and values of a list with commas, such as "a=1,b=2"."""
    if not text:
        return []
    found = []
    for item in text.split(","):
        name, _, value = item.partition(between)
        found.append((name, value))
    return found


class StreamDecoder:
    """Turns the fields of a message into an event; raises MalformedMessageError.

    `endpoint` gives the index of an endpoint's name, or None where it was never listed.
    """

    def __init__(self, settings: Settings, endpoint: Callable[[str], int | None]):
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.groups = {group.name: n for n, group in enumerate(settings.traffic_groups)}
        self.proxies = settings.service.proxy_count or 65536
        longest = max([group.deadline_us for group in settings.traffic_groups], default=0)
        self.longest = NOISE * longest / 1000 or MOST_SPAN  # no attempt outlasts the longest deadline
        self.columns = settings.telemetry.columns
        self.endpoint = endpoint

    def zone(self, said: dict[str, str]) -> int:
        """Return the index of the zone that a message names."""
        return self._named(said, "zone", self.zones)

    @staticmethod
    def _named(said: dict[str, str], name: str, known: dict[str, int]) -> int:
        if said.get(name) not in known:
            raise MalformedMessageError(f"expected a {name} of the settings, not {said.get(name, '')[:40]!r}")
        return known[said[name]]

    def proxy(self, said: dict[str, str]) -> int:
        """Return the number of the proxy that a message names."""
        return whole(said, "proxy", self.proxies)

    def joined(self, said: dict[str, str]) -> ProxyJoined:
        """Decode a SUBSCRIBE; a proxy whose usual rate is not known may leave it out."""
        return ProxyJoined(
            self.proxy(said),
            self.zone(said),
            number({"weight": "0"} | said, "weight"),
            flag(said, "fresh"),
        )

    def acknowledged(self, said: dict[str, str]) -> BatchAcknowledged:
        """Decode an ACK."""
        return BatchAcknowledged(self.proxy(said), whole(said, "mark", 65536), micros(said, "took_ms"))

    def demand_report(self, said: dict[str, str]) -> DemandReport:
        """Decode a RATE."""
        return DemandReport(self.proxy(said), self._named(said, "class", self.groups), *counted(said))

    def load_report(self, said: dict[str, str]) -> LoadReport | None:
        """Decode a LOAD; None where the endpoint was never listed, which says nothing against the line."""
        zone = self.zone(said)
        tries, failed, span = counted(said)
        if failed > tries:  # of RATE it may be so: what failed may have come in the window before
            raise MalformedMessageError(f"expected failed up to tries={tries}, not {failed}")
        mean = micros({"mean_ms": "0"} | said if failed == tries else said, "mean_ms", self.longest)
        if failed < tries and not mean:
            raise MalformedMessageError("expected mean_ms above 0")
        if not said.get("server"):
            raise MalformedMessageError("expected server=")
        index = self.endpoint(said["server"])
        report = load_report(pairs(said.get("load", ""), ":"), self.columns)
        return None if index is None else LoadReport(zone, index, tries, failed, mean, span, report)


def figure(value: float) -> str:
    """Return a number in plain decimals, above 0 where it is above 0."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if float(text) or not value else f"{max(value, 1e-12):.12f}".rstrip("0")


def config(parts: list[MessagePart], names: list[str], groups: list[str]) -> bytes:
    """Encode one message: its parts as lines, all but the last saying that more follow.

    `names` are those of the endpoints and `groups` those of the traffic groups, each by index. Raises
    ValueError where the message has too many parts or bytes.
    """
    if len(parts) > MOST_PARTS:
        raise ValueError(f"a message of {len(parts)} parts")
    last = len(parts) - 1
    lines = [_part_line(part, number < last, names, groups) for number, part in enumerate(parts)]
    message = ("\r\n".join(lines) + "\r\n").encode()
    if len(message) > MOST_LINE:
        raise ValueError(f"a message of {len(message)} bytes")
    return message


def _part_line(part: MessagePart, has_more: bool, names: list[str], groups: list[str]) -> str:
    words = ["CONFIG"]
    if part.groups:
        words.append("classes=" + "+".join(groups[group] for group in part.groups))
    if part.is_complete:
        words.append("whole=1")
    if part.weights:
        words.append("lines=" + ",".join(f"{names[e]}:{figure(weight)}" for e, weight in part.weights))
    if part.admission_level is not None:
        level = part.admission_level
        words.append(f"level={figure(level.level)} retry={level.retry_mode}")
    if part.ejected:
        words.append("out=" + ",".join(names[endpoint] for endpoint in part.ejected))
    if part.readmitted:
        words.append("back=" + ",".join(names[endpoint] for endpoint in part.readmitted))
    if part.marker is not None:
        words.append(f"ticket={part.marker}")
    if has_more:
        words.append("more=1")
    return " ".join(words)
