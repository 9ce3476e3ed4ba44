"""Every event that is logged: its stable name, level, words, and its fields with their units.

One place, so that the operators' catalogue is made from it (`ravenshelf events`) and no message is made up where
it is said. A field's value stays a field: the text form puts it into the words, the JSON form beside them.
"""

from dataclasses import dataclass

from loguru import logger

CATALOGUE: dict[str, "Event"] = {}
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
COUNTERS = "COUNTERS"  # over all others: what was asked for is printed at any level
logger.level(COUNTERS, no=60)


@dataclass(frozen=True, slots=True)
class Event:
    """Called with its fields by name it is logged; `fields` gives the unit or meaning of each."""

    name: str
    level: str
    text: str
    meaning: str
    fields: dict[str, str]

    def __call__(self, **values) -> None:
        logger.bind(event=self.name).log(self.level, self.text, **values)

    def raised(self, why: BaseException | None = None, **values) -> None:
        """As a call, with the exception's trace beside it."""
        logger.opt(exception=why or True).bind(event=self.name).log(self.level, self.text, **values)


def event(name: str, level: str, text: str, meaning: str, /, **fields: str) -> Event:
    if name in CATALOGUE:
        raise ValueError(f"two events are named {name}")
    CATALOGUE[name] = made = Event(name, level, text, meaning, fields)
    return made


# --- the pilot ---

SERVES = event(
    "pilot.serves",
    "INFO",
    "{name} serves at {address}",
    "The pilot takes connections.",
    name="the pilot's name",
    address="host:port",
)
CANT_GO_ON = event("pilot.failed", "ERROR", "the pilot can't go on", "The process ends with code 1.")
COUNTED = event(
    "pilot.counters",
    COUNTERS,
    "counters: {now} {since_start}",
    "Asked for by SIGUSR1, --counters-every, or the end.",
    now="what is held now, counts",
    since_start="sums since the start, counts or microseconds (_us)",
)
DECISIONS = event(
    "decisions.said",
    "INFO",
    "decisions: {text}",
    "What the decision module says of itself.",
    text="its words",
)
MODULE_FAILED = event(
    "decisions.failed",
    "ERROR",
    "the module failed in a round with {calls}",
    "A new module begins; all proxies are bound anew.",
    calls="names of the round's calls",
)
DEADLINE_FAILED = event(
    "pilot.deadline_failed",
    "ERROR",
    "the deadline {key} failed",
    "A defect; other deadlines are met.",
    key="the deadline's key",
)
LOOP_FAILED = event(
    "pilot.call_failed",
    "ERROR",
    "the loop: {text}",
    "A defect in a call of the loop; it goes on.",
    text="the loop's words",
)

# --- configuration ---

RELOAD_REFUSED = event(
    "reload.refused",
    "WARNING",
    "the new configuration is not taken: {why}",
    "SIGHUP found a file that can't be used; the old one holds.",
    why="file, field, expectation",
)
RELOADED = event(
    "reload.taken",
    "INFO",
    "took a new configuration: discovery at {discovery}{waiting}",
    "SIGHUP took the configuration.",
    discovery="host:port",
    waiting="fields that wait for a restart",
)
OPERATOR_REFUSED = event(
    "operator.refused",
    "WARNING",
    "the new operator file is not taken: {why}",
    "SIGHUP found an operator file that can't be used; the old one holds whole.",
    why="file, table, key, found, expected",
)
OPERATOR_TAKEN = event(
    "operator.taken",
    "INFO",
    "took the operator file: {changed}",
    "SIGHUP took the operator file.",
    changed="tables that changed",
)

# --- discovery and whoever connects ---

WATCH_UNREADABLE = event(
    "discovery.watch_unreadable",
    "WARNING",
    "discovery's watch: {why}",
    "A line of the watch is no list; it is begun anew.",
    why="what was expected",
)
LIST_UNREADABLE = event(
    "discovery.list_unreadable",
    "WARNING",
    "discovery's list: {why}",
    "An answer is no list; the old one holds.",
    why="what was expected",
)
DISCOVERY_ENDED = event(
    "discovery.failed",
    "INFO",
    "discovery's {purpose} {end}{status}",
    "A call at discovery came to nothing.",
    purpose="watch or fetch",
    end="how it ended",
    status="HTTP status, if any",
)
ENTRY_BROKEN = event(
    "discovery.entry_broken",
    "WARNING",
    "a broken entry of the list: {why}",
    "The entry is kept as it was.",
    why="the entry and what is wrong",
)
KNOWN_BROKEN = event(
    "discovery.known_broken",
    "WARNING",
    "a broken entry of the known list: {why}",
    "It is left out.",
    why="the entry and what is wrong",
)
SPOILT = event(
    "door.spoilt",
    "WARNING",
    "{purpose} {peer} said {line}: {why}",
    "A message is skipped or, of a stranger, ends the connection.",
    purpose="stream, collector, stranger",
    peer="address",
    line="the first 120 octets",
    why="what was expected",
)

# --- background work ---

BACKGROUND_DROPPED = event(
    "background.dropped",
    "WARNING",
    "background job {job} ({priority}) was dropped",
    "The agenda was full, or it had perished.",
    job="its name",
    priority="its priority",
)
BACKGROUND_FAILED = event(
    "background.failed", "ERROR", "background job {job} failed", "A defect; others go on.", job="its name"
)

# --- Graphite ---

RECEIVER_SENDING = event(
    "graphite.sending",
    "INFO",
    "Graphite receiver {receiver} takes figures; {waiting} points wait",
    "A connection is open.",
    receiver="host:port",
    waiting="points",
)
RECEIVER_STALLED = event(
    "graphite.stalled",
    "WARNING",
    "Graphite receiver {receiver} reads nothing for {seconds:.0f} s",
    "Nothing more is written to it until it reads.",
    receiver="host:port",
    seconds="s",
)
RECEIVER_LOST = event(
    "graphite.lost",
    "WARNING",
    "Graphite receiver {receiver} {end}; next dial in {rest:.1f} s",
    "It rests; its figures wait, within their bound.",
    receiver="host:port",
    end="how the connection ended",
    rest="s",
)
RECEIVER_AWAY = event(
    "graphite.away",
    "WARNING",
    "Graphite receiver {receiver} counts as lost; {moved} points move",
    "Its share goes to the others until it is back.",
    receiver="host:port",
    moved="points",
)
RECEIVER_BACK = event(
    "graphite.back",
    "INFO",
    "Graphite receiver {receiver} has its share again",
    "It kept its connection long enough.",
    receiver="host:port",
)
POINTS_DROPPED = event(
    "graphite.dropped",
    "WARNING",
    "{points} points for {receiver} were dropped ({importance})",
    "The bound was reached: least important first, oldest first.",
    points="points",
    receiver="host:port",
    importance="the figures' importance",
)
SPOOL_FAILED = event(
    "graphite.spool_failed",
    "WARNING",
    "the spool of {receiver}: {why}",
    "The spool rests; memory's bound holds meanwhile.",
    receiver="host:port",
    why="the system's words",
)
SPOOL_DAMAGED = event(
    "graphite.spool_damaged",
    "WARNING",
    "the spool of {receiver}: {octets} octets of {file} are damaged",
    "They are left out; what comes before and after is sent.",
    receiver="host:port",
    octets="octets",
    file="segment",
)

# --- collectd ---

COLLECTD_LISTENS = event(
    "collectd.listens",
    "INFO",
    "takes collectd packets at {address} ({security})",
    "The listener is open.",
    address="host:port",
    security="least security that is taken",
)
COLLECTD_REFUSED = event(
    "collectd.refused",
    "WARNING",
    "collectd packets from {peer} are refused: {why}",
    "Said at most once in 10 s for a reason; the counters have them all.",
    peer="address",
    why="the reason",
)
COLLECTD_USERS = event(
    "collectd.users", "INFO", "took {users} users of collectd", "The password file was read.", users="count"
)
COLLECTD_USERS_REFUSED = event(
    "collectd.users_refused",
    "WARNING",
    "collectd's users: {why}",
    "The passwords read before hold.",
    why="file, line, expectation",
)
HOST_CLOCK = event(
    "collectd.host_clock",
    "INFO",
    "host {host}'s clock is ahead by {ahead:.1f} s",
    "Its values are taken by their corrected times.",
    host="name",
    ahead="s, below 0 where it is behind",
)


# --- several controllers ---

CONTROLLER_STARTS = event(
    "leadership.starts",
    "INFO",
    "controller {name} of {members}, incarnation {incarnation}: {state}",
    "It meets the others and, once its votes count, takes its part.",
    name="its name",
    incarnation="starts since its disk was empty",
    members="count",
    state="votes, or recovers (an empty disk: reads a majority of the others first)",
)
MEMBER_MET = event(
    "leadership.met",
    "INFO",
    "met {name}, incarnation {incarnation}",
    "A connection is open.",
    name="controller",
    incarnation="starts",
)
MEMBER_LOST = event(
    "leadership.member_lost",
    "WARNING",
    "lost {name}: {end}",
    "Its shards go to others once their leases have lapsed.",
    name="controller",
    end="how the connection ended",
)
MEMBER_REFUSED = event(
    "leadership.refused",
    "WARNING",
    "{peer} is refused: {why}",
    "Another cluster, version, name, certificate or older incarnation.",
    peer="address or name",
    why="what was expected",
)
SHARD_TAKEN = event(
    "leadership.taken",
    "INFO",
    "shard {shard} is ours in term {term}",
    "A majority has granted its lease and has its record; its proxies are bound.",
    shard="number",
    term="number",
)
SHARD_LAPSED = event(
    "leadership.lapsed",
    "WARNING",
    "the lease of shard {shard} in term {term} has lapsed",
    "No order that allows anything new leaves any more.",
    shard="number",
    term="number",
)
SHARD_LOST = event(
    "leadership.given",
    "INFO",
    "shard {shard} is ours no more, term {term}",
    "Given away, or another has it.",
    shard="number",
    term="number",
)
MAJORITY_LOST = event(
    "leadership.alone",
    "ERROR",
    "no majority is heard; {shards} shards are kept bound as they are known",
    "No new try, no lifted refusal, until a majority is back.",
    shards="count",
)
MAJORITY_BACK = event(
    "leadership.together",
    "INFO",
    "a majority is heard again; {shards} shards are ours",
    "What was kept is asked for anew.",
    shards="count",
)
STORE_FAILED = event(
    "store.failed",
    "ERROR",
    "the store has failed: {why}",
    "The controller ends: what it can't keep it must not promise.",
    why="the system's words",
)
CERTIFICATES_REFUSED = event(
    "leadership.certificates_refused",
    "WARNING",
    "the new certificates are not taken: {why}",
    "Those read before hold.",
    why="the system's words",
)
# --- distribution ---

RELAY_READY = event(
    "distribution.ready",
    "INFO",
    "relay {name} listens at {address}, {parents} parents",
    "It dials its parents and takes subscribers.",
    name="its name",
    address="host:port",
    parents="count",
)
RELAY_STOPPED = event(
    "distribution.stopped",
    "INFO",
    "relay {name} stops; {snapshot_bytes} octets of snapshots were sent",
    "All connections are ended; subscribers go to other parents.",
    name="its name",
    snapshot_bytes="octets since its start",
)
CONTROLLER_READY = event(
    "distribution.controller_ready",
    "INFO",
    "controller {name} publishes at {address}; {services} services",
    "It decides the services of the shards whose leases it gets.",
    name="its name",
    address="host:port",
    services="in the file",
)
SERVICES_TAKEN = event(
    "distribution.services_taken",
    "INFO",
    "{services} services are in the file",
    "SIGHUP had it read anew.",
    services="count",
)
SERVICES_REFUSED = event(
    "distribution.services_refused",
    "WARNING",
    "the services are not taken: {why}",
    "Those read before hold.",
    why="what is wrong, and where",
)
RELAY_FAILED = event(
    "distribution.failed",
    "ERROR",
    "the process can't go on: {why}",
    "It ends with code 1.",
    why="the system's words",
)

# --- the operator file ---

WAITS_FOR_RESTART = event(
    "operator.waits",
    "WARNING",
    "[{table}] has changed and waits for a restart",
    "All else was taken.",
    table="table of the operator file",
)


def markdown() -> list[str]:
    """The catalogue as rows of a table, for the operators' page."""
    out = ["| event | level | meaning | fields |", "| --- | --- | --- | --- |"]
    for one in CATALOGUE.values():
        fields = "; ".join(f"`{name}`: {unit}" for name, unit in one.fields.items())
        out.append(f"| `{one.name}` | {one.level} | {one.meaning} | {fields} |")
    return out
