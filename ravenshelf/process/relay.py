"""A relay's process, with its log, event loop and signals, and a subscriber that prints topics."""

import asyncio
import json
import random
import signal
from collections.abc import Sequence

import msgspec
import uvloop

from ravenshelf import log_events
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Version
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.leadership.admin import serve_requests
from ravenshelf.leadership.cluster import clock
from ravenshelf.operator_config.tables import Distribution, OperatorConfiguration
from ravenshelf.process import logs

TREE = "tree"  # Name of the only upstream of a relay whose parents are relays, not service owners.
SNAPSHOT_BURST = 0.25  # Snapshots sent at once may use the rate limit's budget for this many seconds.
BYTES_PER_MEGABYTE = 1e6
WATCHER_NAME_BITS = 32
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def distributor_limits(table: Distribution) -> DistributorLimits:
    """Return the limits on subscribers and snapshots that the table `[distribution]` sets."""
    bytes_per_second = table.snapshot_mb_s * BYTES_PER_MEGABYTE
    return DistributorLimits(table.subscribers, bytes_per_second, bytes_per_second * SNAPSHOT_BURST)


def admin_response(service: RelayService, request: dict) -> dict:
    """Return the response to a request on the admin socket: the relay's status, or an error text."""
    if request.get("ask") == "status":
        return {"status": service.status()}
    return {"error": f"ask: found {request.get('ask')!r}, expected status"}


def _relay_service(table: Distribution, loop: asyncio.AbstractEventLoop) -> RelayService:
    upstreams = {name: [name] for name in table.parents} if table.owners else {TREE: list(table.parents)}
    node = Node(loop, clock, table.cluster, table.name, table.parents)
    return RelayService(node, upstreams, random.Random(), distributor_limits(table), table.owners)


async def serve(operator: OperatorConfiguration) -> None:
    """Run the relay that the operator file configures until SIGTERM or SIGINT.

    Raises:
        OSError: An address can't be listened at.
    """
    table = operator.distribution
    loop = asyncio.get_running_loop()
    stop_event = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    service = _relay_service(table, loop)
    address = await service.start(table.listen)
    admin = None
    if table.admin:
        admin = await serve_requests(lambda request: admin_response(service, request), table.admin)
    metrics_export = None
    if operator.graphite.receivers:  # The module is imported only if it is used, to save memory.
        from ravenshelf.process.relay_metrics_export import RelayMetricsExport

        metrics_export = RelayMetricsExport(operator, service, loop)
    log_events.RELAY_LISTENING(name=table.name, address=address, parents=len(table.parents))
    await stop_event.wait()
    if admin is not None:
        admin.close()
    if metrics_export is not None:
        metrics_export.stop()
    service.stop()
    log_events.RELAY_STOPPED(name=table.name, snapshot_bytes=service.relay.distributor.snapshot_bytes)


def run(operator: OperatorConfiguration, level: str) -> int:
    """Run the relay that the operator file configures, with its log and event loop.

    Args:
        operator: The operator file's tables.
        level: Lowest level of log lines.

    Returns:
        The exit code.
    """
    sink = logs.start(level, operator.log.format)
    try:
        uvloop.run(serve(operator))
        code = 0
    except OSError as error:
        log_events.DISTRIBUTION_FAILED(why=str(error))
        code = EXIT_FAILED
    sink.finish(logs.FLUSH_TIMEOUT)
    return code


def topic_as_json(topic: Topic) -> str:
    """Return a topic's name, version and entries as a JSON object in one line."""
    document = {
        "topic": topic.name,
        "epoch": topic.version.epoch,
        "sequence": topic.version.sequence,
        "entries": {key: msgspec.structs.asdict(entry) for key, entry in sorted(topic.entries.items())},
    }
    return json.dumps(document)


async def _print_versions(parent: str, cluster: str, topics: Sequence[str], count: int) -> None:
    loop = asyncio.get_running_loop()
    all_printed = asyncio.Event()
    printed_versions: list[Version] = []

    def print_topic(topic: Topic) -> None:
        """Print a topic as one JSON line and set the event after `count` topics."""
        print(topic_as_json(topic), flush=True)
        printed_versions.append(topic.version)
        if count and len(printed_versions) >= count:
            all_printed.set()

    name = f"watch-{random.getrandbits(WATCHER_NAME_BITS):08x}"
    node = Node(loop, clock, cluster, name, {parent: parent})
    service = SubscriptionService(node, random.Random(), print_topic)
    service.start(topics)
    await all_printed.wait()
    service.stop()


def watch(parent: str, cluster: str, topics: Sequence[str], count: int) -> int:
    """Subscribe to topics and print each new version of them as a line of JSON.

    Args:
        parent: host:port of the relay or service owner to subscribe at.
        cluster: Name of the cluster.
        topics: Names of the topics.
        count: Number of versions after which to end; 0 for no limit.

    Returns:
        The exit code; EXIT_INTERRUPTED after an interrupt from the keyboard.
    """
    try:
        uvloop.run(_print_versions(parent, cluster, topics, count))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0
