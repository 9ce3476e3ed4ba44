"""Catalogue of log events: the stable name, level, text and fields of each event.

Every log line is created from an entry of this catalogue. `ravenshelf events` and the operators' page list
the entries. The text format of the log inserts the values of the fields into the text; the JSON format also
writes each of them under the field's name.
"""

from typing import NamedTuple

from loguru import logger

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# This level is above all others, so that requested counters are printed at any log level.
COUNTERS_LEVEL = "COUNTERS"
logger.level(COUNTERS_LEVEL, no=60)


class LogEvent(NamedTuple):
    """Entry of the catalogue; a call with the values of its fields as keyword arguments logs a line.

    Attributes:
        name: The stable name, which the JSON format writes as `event`.
        level: One of LEVELS, or COUNTERS_LEVEL.
        text: The text of the line, with the names of fields in braces.
        meaning: What has happened and what follows from it, for operators.
        fields: The unit or the meaning of each field, by the field's name.
    """

    name: str
    level: str
    text: str
    meaning: str
    fields: dict[str, str]

    def __call__(self, **values: object) -> None:
        """Log a line with these values of the fields."""
        logger.bind(event=self.name).log(self.level, self.text, **values)

    def with_traceback(self, error: BaseException | None = None, **values: object) -> None:
        """Log a line with the traceback of `error`, or of the exception that is being handled."""
        logger.opt(exception=error or True).bind(event=self.name).log(self.level, self.text, **values)


CATALOGUE: dict[str, LogEvent] = {}


def add_event(name: str, level: str, text: str, meaning: str, /, **fields: str) -> LogEvent:
    """Add an event to the catalogue and return it.

    Raises:
        ValueError: The catalogue already has an event with this name.
    """
    if name in CATALOGUE:
        raise ValueError(f"expected each name once, found two log events with the name {name}")
    new_event = LogEvent(name, level, text, meaning, fields)
    CATALOGUE[name] = new_event
    return new_event


# Control-plane server

SERVER_LISTENING = add_event(
    "server.listening",
    "INFO",
    "{name} serves at {address}",
    "The server accepts connections.",
    name="the server's name",
    address="host:port",
)
SERVER_FAILED = add_event(
    "server.failed",
    "ERROR",
    "server failed; the process exits with code 1",
    "An unexpected error ended the server. The process exits with code 1.",
)
COUNTERS_REPORTED = add_event(
    "server.counters",
    COUNTERS_LEVEL,
    "counters: {now} {since_start}",
    "The counters are logged at exit, on SIGUSR1 and at the interval of --counters-every.",
    now="current numbers of connections, requests, endpoints and deadlines",
    since_start="totals since the start: counts, or microseconds for names that end in _us",
)
DECISION_MESSAGE = add_event(
    "decisions.message",
    "INFO",
    "decisions: {text}",
    "A message that the controller logs about its decisions.",
    text="the message",
)
CONTROL_CYCLE_FAILED = add_event(
    "control_cycle.failed",
    "ERROR",
    "control cycle failed while handling events {events}",
    "The controller raised an error. A new controller replaces it, and all proxies are bound again.",
    events="types of the cycle's events, at most 20 of them",
)
TIMER_FAILED = add_event(
    "server.timer_failed",
    "ERROR",
    "handler of timer {key} failed",
    "The handler of a timer raised an error. Other timers still run.",
    key="the timer's key",
)
CALLBACK_FAILED = add_event(
    "server.callback_failed",
    "ERROR",
    "event loop callback failed: {text}",
    "A callback of the event loop raised an error. The event loop continues.",
    text="the event loop's error message",
)

# Configuration

CONFIGURATION_REJECTED = add_event(
    "configuration.rejected",
    "WARNING",
    "new configuration rejected, the previous one stays in force: {why}",
    "The configuration that was read at SIGHUP is not valid. The previous one stays in force.",
    why="the file, the field and what was expected",
)
CONFIGURATION_RELOADED = add_event(
    "configuration.reloaded",
    "INFO",
    "configuration reloaded: discovery at {discovery}{waiting}",
    "The configuration was read at SIGHUP. Only a new registry address takes effect before a restart.",
    discovery="host:port of the endpoint registry",
    waiting="a list of the changed fields that take effect after a restart, or empty",
)
OPERATOR_CONFIGURATION_REJECTED = add_event(
    "operator_configuration.rejected",
    "WARNING",
    "new operator file rejected, the previous one stays in force: {why}",
    "The operator file that was read at SIGHUP is not valid. All tables of the previous one stay in force.",
    why="the file, the table, the key, what was found and what was expected",
)
OPERATOR_CONFIGURATION_RELOADED = add_event(
    "operator_configuration.reloaded",
    "INFO",
    "operator file reloaded: {changed}",
    "The operator file was read at SIGHUP and is in force.",
    changed="the tables that changed",
)
RESTART_REQUIRED = add_event(
    "operator_configuration.restart_required",
    "WARNING",
    "[{table}] changed; the change takes effect after a restart",
    "A reload does not apply changes of this table. Changes of other tables are in force.",
    table="the table of the operator file",
)

# Endpoint registry and connections

WATCH_EVENT_MALFORMED = add_event(
    "discovery.watch_event_malformed",
    "WARNING",
    "malformed watch event from discovery, watch restarted: {why}",
    "A line of the watch of the endpoint registry is not a valid endpoint list. The watch is restarted.",
    why="what was expected",
)
ENDPOINT_LIST_MALFORMED = add_event(
    "discovery.list_malformed",
    "WARNING",
    "malformed endpoint list from discovery, the previous list stays in force: {why}",
    "A response of the endpoint registry is not a valid endpoint list. The previous list stays in force.",
    why="what was expected",
)
DISCOVERY_REQUEST_FAILED = add_event(
    "discovery.request_failed",
    "INFO",
    "discovery {purpose} failed: {end}{status}",
    "A watch or fetch of the endpoint registry (discovery) has failed.",
    purpose="watch or fetch",
    end="how the connection ended",
    status="the HTTP status in parentheses, or empty if none was received",
)
ENDPOINT_ENTRY_MALFORMED = add_event(
    "discovery.entry_malformed",
    "WARNING",
    "malformed entry in the endpoint list: {why}",
    "An entry of an endpoint list is not valid. The endpoint keeps its previous entry.",
    why="the entry and what is wrong with it",
)
RESTORED_ENTRY_MALFORMED = add_event(
    "discovery.restored_entry_malformed",
    "WARNING",
    "malformed entry in the restored endpoint list: {why}",
    "An entry of the endpoint list that is restored at the start is not valid. The entry is skipped.",
    why="the entry and what is wrong with it",
)
MESSAGE_MALFORMED = add_event(
    "stream.message_malformed",
    "WARNING",
    "malformed message from {purpose} {peer}: {line}: {why}",
    "The message is skipped. An unreadable connection, or one that is not identified yet, is closed.",
    purpose="the kind of connection",
    peer="address",
    line="the first 120 bytes of the message",
    why="what was expected",
)

# Background jobs

JOB_DROPPED = add_event(
    "background.job_dropped",
    "WARNING",
    "background job {job} ({priority}) dropped",
    "The job queue was full, the job's deadline had passed or the job was cancelled.",
    job="the job's name",
    priority="the job's priority",
)
JOB_FAILED = add_event(
    "background.job_failed",
    "ERROR",
    "background job {job} failed",
    "The job raised an error and is removed. Other jobs still run.",
    job="the job's name",
)

# Graphite

RECEIVER_CONNECTED = add_event(
    "graphite.connected",
    "INFO",
    "connected to Graphite receiver {receiver}; {waiting} points queued",
    "A connection to the receiver was opened. The queued points are sent.",
    receiver="host:port",
    waiting="number of points that are queued for the receiver",
)
RECEIVER_STALLED = add_event(
    "graphite.stalled",
    "WARNING",
    "Graphite receiver {receiver} has read nothing for {seconds:.0f} s",
    "No more points are written to the receiver until it reads again.",
    receiver="host:port",
    seconds="s",
)
RECEIVER_DISCONNECTED = add_event(
    "graphite.disconnected",
    "WARNING",
    "connection to Graphite receiver {receiver} ended: {end}; reconnect in {rest:.1f} s",
    "The receiver's points stay queued, up to the queue's limit, until the backoff has passed.",
    receiver="host:port",
    end="how the connection ended",
    rest="backoff before the next attempt to connect, s",
)
RECEIVER_FAILED_OVER = add_event(
    "graphite.failed_over",
    "WARNING",
    "Graphite receiver {receiver} is down; {moved} points rerouted",
    "The receiver's share of the points goes to the other receivers until it has recovered.",
    receiver="host:port",
    moved="number of queued points that go to other receivers",
)
RECEIVER_RECOVERED = add_event(
    "graphite.recovered",
    "INFO",
    "Graphite receiver {receiver} recovered and gets its share again",
    "The receiver has been connected for at least 20 s.",
    receiver="host:port",
)
POINTS_DROPPED = add_event(
    "graphite.points_dropped",
    "WARNING",
    "{points} points for Graphite receiver {receiver} dropped ({importance})",
    "The queue was full. The least important points are dropped first, the oldest of these before others.",
    points="number of dropped points",
    receiver="host:port",
    importance="the importance of the metrics",
)
SPOOL_FAILED = add_event(
    "graphite.spool_failed",
    "WARNING",
    "spool of Graphite receiver {receiver} failed: {why}",
    "The spool is not used for 60 s. During this time, points are queued only in memory, up to the limit.",
    receiver="host:port",
    why="the system's error message",
)
SPOOL_CORRUPTED = add_event(
    "graphite.spool_corrupted",
    "WARNING",
    "spool of Graphite receiver {receiver} is corrupted: {bytes} bytes of {file} skipped",
    "The bytes are skipped. The points before and after them are sent.",
    receiver="host:port",
    bytes="bytes",
    file="the segment's file and the offset in it",
)

# collectd

COLLECTD_LISTENING = add_event(
    "collectd.listening",
    "INFO",
    "listens for collectd packets at {address} (security {security})",
    "The server receives collectd packets.",
    address="host:port",
    security="the lowest accepted security level",
)
PACKET_REJECTED = add_event(
    "collectd.packet_rejected",
    "WARNING",
    "collectd packet from {peer} rejected: {why}",
    "The packet is ignored. Logged at most once in 10 s per reason; the counters include every rejected one.",
    peer="the sender's address",
    why="the reason",
)
COLLECTD_USERS_LOADED = add_event(
    "collectd.users_loaded",
    "INFO",
    "{users} collectd users loaded",
    "The password file was read.",
    users="number of users",
)
COLLECTD_USERS_REJECTED = add_event(
    "collectd.users_rejected",
    "WARNING",
    "collectd's password file rejected, the previous users stay in force: {why}",
    "The password file is not valid or can't be read. The previous passwords stay in force.",
    why="the file, the line and what was expected",
)
HOST_CLOCK_SKEWED = add_event(
    "collectd.host_clock_skewed",
    "INFO",
    "clock of host {host} is ahead by {ahead:.1f} s",
    "The timestamps of the host's values are corrected.",
    host="the host's name",
    ahead="s; below 0 if the clock is behind",
)

# Leases

MEMBER_STARTED = add_event(
    "leadership.started",
    "INFO",
    "controller {name} started, one of {members} members, incarnation {incarnation}: {state}",
    "The controller connects to the other members. While it recovers, it does not vote.",
    name="the controller's name",
    incarnation="number of starts since its disk was empty",
    members="number of members",
    state="votes, or recovers: its disk is empty, so it first reads the state of a quorum of the others",
)
MEMBER_CONNECTED = add_event(
    "leadership.member_connected",
    "INFO",
    "connected to controller {name}, incarnation {incarnation}",
    "A connection to another member is open.",
    name="the other controller's name",
    incarnation="number of its starts since its disk was empty",
)
MEMBER_DISCONNECTED = add_event(
    "leadership.member_disconnected",
    "WARNING",
    "connection to controller {name} ended: {end}",
    "If the controller has failed, others acquire its shards after its leases have expired.",
    name="the other controller's name",
    end="how the connection ended",
)
MEMBER_REJECTED = add_event(
    "leadership.member_rejected",
    "WARNING",
    "connection with controller {peer} rejected: {why}",
    "The peer's cluster, version, name, settings, certificate or incarnation differs from the expected one, "
    "or its message is malformed.",
    peer="the peer's address or name",
    why="what was expected",
)
LEASE_ACQUIRED = add_event(
    "leadership.lease_acquired",
    "INFO",
    "lease for shard {shard} acquired in term {term}",
    "A quorum has granted the lease and stored the shard's record. The shard's proxies are bound.",
    shard="number of the shard",
    term="number of the term",
)
LEASE_EXPIRED = add_event(
    "leadership.lease_expired",
    "WARNING",
    "lease for shard {shard} expired in term {term}",
    "No quorum renewed the lease in time. No command that admits more requests or retries is sent until the "
    "lease is acquired again.",
    shard="number of the shard",
    term="number of the term",
)
LEASE_LOST = add_event(
    "leadership.lease_lost",
    "INFO",
    "lease for shard {shard} lost in term {term}",
    "The shard was handed over, or another controller holds its lease.",
    shard="number of the shard",
    term="number of the term",
)
QUORUM_LOST = add_event(
    "leadership.quorum_lost",
    "ERROR",
    "quorum lost; the proxies of {shards} owned shards keep their tables",
    "No command that admits more requests or retries is sent until the quorum is regained.",
    shards="number of owned shards",
)
QUORUM_REGAINED = add_event(
    "leadership.quorum_regained",
    "INFO",
    "quorum regained; {shards} shards owned",
    "Leases are requested again, and commands that wait for one are sent once it is acquired.",
    shards="number of owned shards",
)
STORE_FAILED = add_event(
    "store.failed",
    "ERROR",
    "store failed: {why}; the controller exits",
    "The controller exits, because it must not acknowledge a promise or a record that is not stored.",
    why="the system's error message",
)
CERTIFICATES_REJECTED = add_event(
    "leadership.certificates_rejected",
    "WARNING",
    "new certificates rejected, the previous ones stay in force: {why}",
    "The certificate files that were read at SIGHUP can't be used. The previous certificates stay in force.",
    why="the system's error message",
)

# Distribution

RELAY_LISTENING = add_event(
    "distribution.relay_listening",
    "INFO",
    "relay {name} listens at {address}, {parents} parents",
    "The relay connects to its parents and accepts subscribers.",
    name="the relay's name",
    address="host:port",
    parents="number of parents",
)
RELAY_STOPPED = add_event(
    "distribution.relay_stopped",
    "INFO",
    "relay {name} stopped; {snapshot_bytes} bytes of snapshots sent",
    "All connections are closed. The subscribers connect to other parents.",
    name="the relay's name",
    snapshot_bytes="bytes since the relay's start",
)
SERVICE_OWNER_LISTENING = add_event(
    "distribution.owner_listening",
    "INFO",
    "service owner {name} publishes at {address}; {services} services",
    "The service owner decides the services of the shards whose leases it acquires.",
    name="the service owner's name",
    address="host:port",
    services="number of services in the services file",
)
SERVICES_RELOADED = add_event(
    "distribution.services_reloaded",
    "INFO",
    "services file reloaded: {services} services",
    "The services file was read at SIGHUP and is in force.",
    services="number of services in the services file",
)
SERVICES_REJECTED = add_event(
    "distribution.services_rejected",
    "WARNING",
    "services file rejected, the previous services stay in force: {why}",
    "The services file that was read at SIGHUP is not valid. The previous services stay in force.",
    why="the file, what is wrong and where",
)
DISTRIBUTION_FAILED = add_event(
    "distribution.failed",
    "ERROR",
    "process failed: {why}",
    "The relay or service owner can't go on. The process exits with code 1.",
    why="the system's error message",
)


def markdown() -> list[str]:
    """Return the lines of a Markdown table that lists the catalogue, for the operators' page."""
    rows = ["| event | level | meaning | fields |", "| --- | --- | --- | --- |"]
    for entry in CATALOGUE.values():
        fields = "; ".join(f"`{name}`: {description}" for name, description in entry.fields.items())
        rows.append(f"| `{entry.name}` | {entry.level} | {entry.meaning} | {fields} |")
    return rows
