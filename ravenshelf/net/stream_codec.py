"""Lines of the streams: what proxies and collectors say into the module's calls, messages into lines."""

from collections.abc import Callable, Iterable, Sequence

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy.events import BatchAcknowledged, DemandReport, LoadReport, ProxyJoined
from ravenshelf.settings import Settings

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
PING, PONG = "PING", b"PONG\r\n"
KINDS = ("SUBSCRIBE", "SOURCE", "LOAD", "RATE", "ACK", PING)  # what comes to a pilot


class MalformedMessageError(RavenshelfError):
    """A message of a known kind that is spoilt; the text says what was expected."""


class UnreadableConnectionError(MalformedMessageError):
    """No message at all, or one that cannot come here: whoever sends it is of no further use."""


def words(line: bytes) -> tuple[str, list[str]]:
    """The kind of a message and its words."""
    try:
        kind, *rest = line.decode("utf-8").split()
    except (UnicodeDecodeError, ValueError) as why:
        raise UnreadableConnectionError("expected a kind and words in UTF-8") from why
    if kind not in KINDS:
        raise UnreadableConnectionError("expected a kind of message that is known")
    return kind, rest


def named(words: list[str]) -> dict[str, str]:
    """Words by name; no name comes twice."""
    said = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name or name in said:
            raise MalformedMessageError(f"expected name=value, each name once, not {word[:40]!r}")
        said[name] = value
    return said


def may_begin(rest: bytes) -> bool:
    """Whether a message may begin so; against those who never come to the end of a line."""
    word, space, _ = bytes(rest[:12]).partition(b" ")
    word = word.rstrip(b"\r").decode("latin-1")
    return word in KINDS if space else any(kind.startswith(word) for kind in KINDS)


def number(said: dict[str, str], name: str, most: float = MOST_FIGURE) -> float:
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
    value = number(said, name)
    if value != int(value) or (beyond is not None and value >= beyond):
        raise MalformedMessageError(
            f"expected a whole number{f' below {beyond}' if beyond else ''} as {name}, not {value:g}"
        )
    return int(value)


def micros(said: dict[str, str], name: str, most: float = MOST_SPAN) -> int:
    return round(number(said, name, most) * 1000)


def counted(said: dict[str, str]) -> tuple[int, int, int]:
    """Tries, how many of them failed, and the window they were counted over."""
    tries, failed, span = whole(said, "tries"), whole(said, "failed"), micros(said, "span_ms")
    if not span:
        raise MalformedMessageError("expected span_ms above 0")
    return tries, failed, span


def flag(said: dict[str, str], name: str) -> bool:
    if said.get(name) not in ("0", "1"):
        raise MalformedMessageError(f"expected 0 or 1 as {name}")
    return said[name] == "1"


def load_report(pairs: Iterable[tuple[str, str]], columns: Sequence[str]) -> tuple[float, ...]:
    """The columns of a load report by name; one that lacks a column, or says it badly, is none."""
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
    return () if None in wanted else tuple(wanted)


def pairs(text: str, between: str) -> list[tuple[str, str]]:
    return [tuple(part.partition(between)[::2]) for part in text.split(",")] if text else []


class StreamDecoder:
    """Turns a message into an event for the controller, by the names that the settings give."""

    def __init__(self, settings: Settings, endpoint: Callable[[str], int | None]):
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.groups = {group.name: n for n, group in enumerate(settings.traffic_groups)}
        self.proxies = settings.service.proxy_count or 65536
        longest = max([group.deadline_us for group in settings.traffic_groups], default=0)
        self.longest = NOISE * longest / 1000 or MOST_SPAN  # no try outlasts the longest expiry
        self.columns = settings.telemetry.columns
        self.endpoint = endpoint

    def zone(self, said: dict[str, str]) -> int:
        return self._named(said, "zone", self.zones)

    @staticmethod
    def _named(said: dict[str, str], name: str, known: dict[str, int]) -> int:
        if said.get(name) not in known:
            raise MalformedMessageError(f"expected a {name} of the settings, not {said.get(name, '')[:40]!r}")
        return known[said[name]]

    def proxy(self, said: dict[str, str]) -> int:
        return whole(said, "proxy", self.proxies)

    def joined(self, said: dict[str, str]) -> ProxyJoined:
        """A proxy of which no usual rate is known may say none."""
        return ProxyJoined(
            self.proxy(said),
            self.zone(said),
            number({"weight": "0"} | said, "weight"),
            flag(said, "fresh"),
        )

    def applied(self, said: dict[str, str]) -> BatchAcknowledged:
        return BatchAcknowledged(self.proxy(said), whole(said, "mark", 65536), micros(said, "took_ms"))

    def asked(self, said: dict[str, str]) -> DemandReport:
        return DemandReport(self.proxy(said), self._named(said, "class", self.groups), *counted(said))

    def heard(self, said: dict[str, str]) -> LoadReport | None:
        """None where the endpoint was never listed: that says nothing against the line."""
        zone, (tries, failed, span) = self.zone(said), counted(said)
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
    """A figure in plain decimals that reads back as itself and above 0 where it is above 0."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if float(text) or not value else f"{max(value, 1e-12):.12f}".rstrip("0")


def config(parts: list, names: list[str], groups: list[str]) -> bytes:
    """One message: its parts as lines, all but the last saying that more comes."""
    if len(parts) > MOST_PARTS:
        raise ValueError(f"a message of {len(parts)} parts")
    out = []
    for n, part in enumerate(parts):
        said = ["CONFIG"]
        if part.groups:
            said.append("classes=" + "+".join(groups[g] for g in part.groups))
        if part.is_complete:
            said.append("whole=1")
        if part.weights:
            said.append("lines=" + ",".join(f"{names[e]}:{figure(weight)}" for e, weight in part.weights))
        if part.admission_level is not None:
            level = part.admission_level
            said.append(f"level={figure(level.level)} retry={level.retry_mode}")
        for word, endpoints in (("out", part.ejected), ("back", part.readmitted)):
            if endpoints:
                said.append(f"{word}=" + ",".join(names[e] for e in endpoints))
        if part.marker is not None:
            said.append(f"ticket={part.marker}")
        if n < len(parts) - 1:
            said.append("more=1")
        out.append(" ".join(said))
    message = ("\r\n".join(out) + "\r\n").encode()
    if len(message) > MOST_LINE:
        raise ValueError(f"a message of {len(message)} bytes")
    return message
