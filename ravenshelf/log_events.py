"""The catalogue of log events: the stable name, level, text and fields of each, with the fields' units.

Every log line is made from an entry of this catalogue; `ravenshelf events` and the operators' page list them.
A field keeps its value: the text format inserts it into the text, the JSON format adds it as a key.
"""

from typing import NamedTuple

from loguru import logger

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
COUNTERS = "COUNTERS"  # above every other level: counters that were asked for are printed at any log level
logger.level(COUNTERS, no=60)


class LogEvent(NamedTuple):
    """A log event; calling it with its fields by name logs a line.

    `fields` gives the unit or the meaning of each field.
    """

    name: str
    level: str
    text: str
    meaning: str
    fields: dict[str, str]

    def __call__(self, **values: object) -> None:
        """Log a line."""
        logger.bind(event=self.name).log(self.level, self.text, **values)

    def with_traceback(self, error: BaseException | None = None, **values: object) -> None:
        """Log a line with the traceback of `error`, or of the exception that is being handled."""
        logger.opt(exception=error or True).bind(event=self.name).log(self.level, self.text, **values)


CATALOGUE: dict[str, LogEvent] = {}


def event(name: str, level: str, text: str, meaning: str, /, **fields: str) -> LogEvent:
    """Add an event to the catalogue and return it; raises ValueError where the name is in use."""
    if name in CATALOGUE:
        raise ValueError(f"two log events are named {name}")
    added = LogEvent(name, level, text, meaning, fields)
    CATALOGUE[name] = added
    return added


# --- control-plane server ---

SERVER_LISTENING = event(
    "server.listening",
    "INFO",
    "{name} serves at {address}",
    "The server accepts connections.",
    name="the server's name",
    address="host:port",
)
SERVER_FAILED = event(
    "server.failed",
    "ERROR",
    "server failed; the process exits with code 1",
    "The process exits with code 1.",
)
COUNTERS_REPORTED = event(
    "server.counters",
    COUNTERS,
    "counters: {now} {since_start}",
    "Requested by SIGUSR1 or --counters-every, or printed at exit.",
    now="current sizes, counts",
    since_start="sums since the start, counts or microseconds (_us)",
)
DECISION_MESSAGE = event(
    "decisions.message",
    "INFO",
    "decisions: {text}",
    "A message from the decision module.",
    text="the message",
)
CONTROL_CYCLE_FAILED = event(
    "control_cycle.failed",
    "ERROR",
    "control cycle failed while handling events {events}",
    "The controller is created anew and all proxies are bound again.",
    events="types of the cycle's events, at most 20",
)
TIMER_FAILED = event(
    "server.timer_failed",
    "ERROR",
    "handler of timer {key} failed",
    "A defect; other timers still run.",
    key="the timer's key",
)
CALLBACK_FAILED = event(
    "server.callback_failed",
    "ERROR",
    "event loop callback failed: {text}",
    "A defect in a callback; the event loop goes on.",
    text="the event loop's message",
)

# --- configuration ---

CONFIGURATION_REJECTED = event(
    "configuration.rejected",
    "WARNING",
    "new configuration rejected, the previous one stays in force: {why}",
    "SIGHUP found a file that is not valid; the previous configuration stays in force.",
    why="file, field, expectation",
)
CONFIGURATION_RELOADED = event(
    "configuration.reloaded",
    "INFO",
    "configuration reloaded: discovery at {discovery}{waiting}",
    "SIGHUP reloaded the configuration.",
    discovery="host:port",
    waiting="fields that take effect after a restart",
)
OPERATOR_CONFIGURATION_REJECTED = event(
    "operator_configuration.rejected",
    "WARNING",
    "new operator file rejected, the previous one stays in force: {why}",
    "SIGHUP found an operator file that is not valid; the previous one stays in force as a whole.",
    why="file, table, key, found, expected",
)
OPERATOR_CONFIGURATION_RELOADED = event(
    "operator_configuration.reloaded",
    "INFO",
    "operator file reloaded: {changed}",
    "SIGHUP reloaded the operator file.",
    changed="tables that changed",
)
RESTART_REQUIRED = event(
    "operator_configuration.restart_required",
    "WARNING",
    "[{table}] changed; the change takes effect after a restart",
    "All other tables were reloaded.",
    table="table of the operator file",
)

# --- discovery and connections ---

WATCH_EVENT_MALFORMED = event(
    "discovery.watch_event_malformed",
    "WARNING",
    "malformed watch event from discovery, watch restarted: {why}",
    "A line of the watch is no endpoint list; the watch is restarted.",
    why="what was expected",
)
ENDPOINT_LIST_MALFORMED = event(
    "discovery.list_malformed",
    "WARNING",
    "malformed endpoint list from discovery, the previous list stays in force: {why}",
    "A response is no endpoint list; the previous list stays in force.",
    why="what was expected",
)
DISCOVERY_REQUEST_FAILED = event(
    "discovery.request_failed",
    "INFO",
    "discovery {purpose} failed: {end}{status}",
    "A request to discovery failed.",
    purpose="watch or fetch",
    end="how the connection ended",
    status="HTTP status, if any",
)
ENDPOINT_ENTRY_MALFORMED = event(
    "discovery.entry_malformed",
    "WARNING",
    "malformed entry in the endpoint list: {why}",
    "The endpoint keeps its previous entry.",
    why="the entry and what is wrong",
)
RESTORED_ENTRY_MALFORMED = event(
    "discovery.restored_entry_malformed",
    "WARNING",
    "malformed entry in the restored endpoint list: {why}",
    "The entry is skipped.",
    why="the entry and what is wrong",
)
MESSAGE_MALFORMED = event(
    "stream.message_malformed",
    "WARNING",
    "malformed message from {purpose} {peer}: {line}: {why}",
    "The message is skipped; on an unidentified connection it closes the connection.",
    purpose="kind of connection",
    peer="address",
    line="the first 120 bytes",
    why="what was expected",
)

# --- background jobs ---

JOB_DROPPED = event(
    "background.job_dropped",
    "WARNING",
    "background job {job} ({priority}) dropped",
    "The job queue was full, or the job's deadline had passed.",
    job="its name",
    priority="its priority",
)
JOB_FAILED = event(
    "background.job_failed",
    "ERROR",
    "background job {job} failed",
    "A defect; other jobs still run.",
    job="its name",
)

# --- Graphite ---

RECEIVER_CONNECTED = event(
    "graphite.connected",
    "INFO",
    "connected to Graphite receiver {receiver}; {waiting} points queued",
    "A connection is open.",
    receiver="host:port",
    waiting="points",
)
RECEIVER_STALLED = event(
    "graphite.stalled",
    "WARNING",
    "Graphite receiver {receiver} has read nothing for {seconds:.0f} s",
    "Nothing more is written to it until it reads.",
    receiver="host:port",
    seconds="s",
)
RECEIVER_DISCONNECTED = event(
    "graphite.disconnected",
    "WARNING",
    "connection to Graphite receiver {receiver} ended: {end}; reconnect in {rest:.1f} s",
    "Its points stay queued within the queue's limit until the backoff has passed.",
    receiver="host:port",
    end="how the connection ended",
    rest="s",
)
RECEIVER_FAILED_OVER = event(
    "graphite.failed_over",
    "WARNING",
    "Graphite receiver {receiver} is down; {moved} points rerouted",
    "Its share goes to the other receivers until it has recovered.",
    receiver="host:port",
    moved="points",
)
RECEIVER_RECOVERED = event(
    "graphite.recovered",
    "INFO",
    "Graphite receiver {receiver} recovered and gets its share again",
    "It stayed connected long enough.",
    receiver="host:port",
)
POINTS_DROPPED = event(
    "graphite.points_dropped",
    "WARNING",
    "{points} points for Graphite receiver {receiver} dropped ({importance})",
    "The queue's limit was reached: the least important points go first, the oldest of these first.",
    points="points",
    receiver="host:port",
    importance="importance of the metrics",
)
SPOOL_FAILED = event(
    "graphite.spool_failed",
    "WARNING",
    "spool of Graphite receiver {receiver} failed: {why}",
    "The spool pauses; meanwhile the limit in memory applies.",
    receiver="host:port",
    why="the system's error message",
)
SPOOL_CORRUPTED = event(
    "graphite.spool_corrupted",
    "WARNING",
    "spool of Graphite receiver {receiver} is corrupted: {bytes} bytes of {file} skipped",
    "The bytes are skipped; what precedes and follows them is sent.",
    receiver="host:port",
    bytes="bytes",
    file="segment",
)

# --- collectd ---

COLLECTD_LISTENING = event(
    "collectd.listening",
    "INFO",
    "listens for collectd packets at {address} (security {security})",
    "The listener is open.",
    address="host:port",
    security="lowest security level that is accepted",
)
PACKET_REJECTED = event(
    "collectd.packet_rejected",
    "WARNING",
    "collectd packet from {peer} rejected: {why}",
    "Logged at most once in 10 s for each reason; the counters have every packet.",
    peer="address",
    why="the reason",
)
COLLECTD_USERS_LOADED = event(
    "collectd.users_loaded",
    "INFO",
    "{users} collectd users loaded",
    "The password file was read.",
    users="count",
)
COLLECTD_USERS_REJECTED = event(
    "collectd.users_rejected",
    "WARNING",
    "collectd's password file rejected, the previous users stay in force: {why}",
    "The passwords that were read before stay in force.",
    why="file, line, expectation",
)
HOST_CLOCK_SKEWED = event(
    "collectd.host_clock_skewed",
    "INFO",
    "clock of host {host} is ahead by {ahead:.1f} s",
    "The timestamps of its values are corrected.",
    host="name",
    ahead="s, below 0 where it is behind",
)

# --- leases ---

MEMBER_STARTED = event(
    "leadership.started",
    "INFO",
    "controller {name} started, one of {members}, incarnation {incarnation}: {state}",
    "It connects to the others and takes part once its votes count.",
    name="its name",
    incarnation="starts since its disk was empty",
    members="count",
    state="votes, or recovers (an empty disk: reads from a quorum of the others first)",
)
MEMBER_CONNECTED = event(
    "leadership.member_connected",
    "INFO",
    "connected to controller {name}, incarnation {incarnation}",
    "A connection is open.",
    name="controller",
    incarnation="starts",
)
MEMBER_DISCONNECTED = event(
    "leadership.member_disconnected",
    "WARNING",
    "connection to controller {name} ended: {end}",
    "Others acquire its shards once its leases have expired.",
    name="controller",
    end="how the connection ended",
)
MEMBER_REJECTED = event(
    "leadership.member_rejected",
    "WARNING",
    "connection with controller {peer} rejected: {why}",
    "Another cluster, version, name, certificate or an older incarnation.",
    peer="address or name",
    why="what was expected",
)
LEASE_ACQUIRED = event(
    "leadership.lease_acquired",
    "INFO",
    "lease for shard {shard} acquired in term {term}",
    "A quorum has granted the lease and stored its record; the shard's proxies are bound.",
    shard="number",
    term="number",
)
LEASE_EXPIRED = event(
    "leadership.lease_expired",
    "WARNING",
    "lease for shard {shard} expired in term {term}",
    "No command that allows anything new is sent any more.",
    shard="number",
    term="number",
)
LEASE_LOST = event(
    "leadership.lease_lost",
    "INFO",
    "lease for shard {shard} lost in term {term}",
    "Handed over, or another controller holds it.",
    shard="number",
    term="number",
)
QUORUM_LOST = event(
    "leadership.quorum_lost",
    "ERROR",
    "quorum lost; {shards} owned shards keep their last known tables",
    "No new attempt is allowed and no admission limit is raised until the quorum is regained.",
    shards="count",
)
QUORUM_REGAINED = event(
    "leadership.quorum_regained",
    "INFO",
    "quorum regained; {shards} shards owned",
    "Commands that were held back are requested again.",
    shards="count",
)
STORE_FAILED = event(
    "store.failed",
    "ERROR",
    "store failed: {why}; the controller exits",
    "The controller exits: what it cannot store it must not promise.",
    why="the system's error message",
)
CERTIFICATES_REJECTED = event(
    "leadership.certificates_rejected",
    "WARNING",
    "new certificates rejected, the previous ones stay in force: {why}",
    "The certificates that were read before stay in force.",
    why="the system's error message",
)

# --- distribution ---

RELAY_LISTENING = event(
    "distribution.relay_listening",
    "INFO",
    "relay {name} listens at {address}, {parents} parents",
    "It connects to its parents and accepts subscribers.",
    name="its name",
    address="host:port",
    parents="count",
)
RELAY_STOPPED = event(
    "distribution.relay_stopped",
    "INFO",
    "relay {name} stopped; {snapshot_bytes} bytes of snapshots sent",
    "All connections are closed; subscribers go to other parents.",
    name="its name",
    snapshot_bytes="bytes since its start",
)
SERVICE_OWNER_LISTENING = event(
    "distribution.owner_listening",
    "INFO",
    "service owner {name} publishes at {address}; {services} services",
    "It decides the services of the shards whose leases it acquires.",
    name="its name",
    address="host:port",
    services="in the file",
)
SERVICES_RELOADED = event(
    "distribution.services_reloaded",
    "INFO",
    "services file reloaded: {services} services",
    "SIGHUP reloaded the services file.",
    services="count",
)
SERVICES_REJECTED = event(
    "distribution.services_rejected",
    "WARNING",
    "services file rejected, the previous services stay in force: {why}",
    "The services that were read before stay in force.",
    why="what is wrong, and where",
)
DISTRIBUTION_FAILED = event(
    "distribution.failed",
    "ERROR",
    "process failed: {why}",
    "The process exits with code 1.",
    why="the system's error message",
)


def markdown() -> list[str]:
    """Return the catalogue as the rows of a Markdown table, for the operators' page."""
    rows = ["| event | level | meaning | fields |", "| --- | --- | --- | --- |"]
    for entry in CATALOGUE.values():
        fields = "; ".join(f"`{name}`: {unit}" for name, unit in entry.fields.items())
        rows.append(f"| `{entry.name}` | {entry.level} | {entry.meaning} | {fields} |")
    return rows
