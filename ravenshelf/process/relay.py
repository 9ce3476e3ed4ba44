"""A relay's process: its log, its loop, its signals; and a subscriber that prints what it receives."""

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
from ravenshelf.operator_config.tables import Distribution, Operator
from ravenshelf.process import logs

TREE = "tree"  # name of the only upstream of a relay that is not next to the service owners
SNAPSHOT_BURST = 0.25  # seconds of the snapshot budget that may be spent at once
BYTES_PER_MEGABYTE = 1e6
WATCHER_NAME_BITS = 32
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def limits(table: Distribution) -> DistributorLimits:
    """Return the limits that the operator file sets."""
    bytes_per_second = table.snapshot_mb_s * BYTES_PER_MEGABYTE
    return DistributorLimits(table.subscribers, bytes_per_second, bytes_per_second * SNAPSHOT_BURST)


def answer(service: RelayService, request: dict) -> dict:
    """Return the response to an operator's request on the admin socket."""
    if request.get("ask") == "status":
        return {"status": service.status()}
    return {"error": f"ask: found {request.get('ask')!r}, expected status"}


def _relay_service(table: Distribution, loop: asyncio.AbstractEventLoop) -> RelayService:
    upstreams = {name: [name] for name in table.parents} if table.owners else {TREE: list(table.parents)}
    node = Node(loop, clock, table.cluster, table.name, table.parents)
    return RelayService(node, upstreams, random.Random(), limits(table), table.owners)


async def serve(operator: Operator) -> None:
    """Run the relay until SIGTERM or SIGINT."""
    table = operator.distribution
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    service = _relay_service(table, loop)
    address = await service.start(table.listen)
    admin = None
    if table.admin:
        admin = await serve_requests(lambda request: answer(service, request), table.admin)
    figures = None
    if operator.graphite.receivers:  # imported only where it is used, for the memory of a relay
        from ravenshelf.process.relay_metrics_export import RelayMetricsExport

        figures = RelayMetricsExport(operator, service, loop)
    log_events.RELAY_LISTENING(name=table.name, address=address, parents=len(table.parents))
    await ended.wait()
    if admin is not None:
        admin.close()
    if figures is not None:
        figures.stop()
    service.stop()
    log_events.RELAY_STOPPED(name=table.name, snapshot_bytes=service.relay.distributor.snapshot_bytes)


def run(operator: Operator, level: str) -> int:
    """Run the relay of the operator file; return the exit code."""
    sink = logs.start(level, operator.log.format)
    try:
        uvloop.run(serve(operator))
        code = 0
    except OSError as error:
        log_events.DISTRIBUTION_FAILED(why=str(error))
        code = EXIT_FAILED
    sink.finish(logs.FLUSH_TIMEOUT)
    return code


def printed(topic: Topic) -> str:
    """Return a topic's state as a line of JSON."""
    document = {
        "topic": topic.name,
        "epoch": topic.version.epoch,
        "sequence": topic.version.sequence,
        "entries": {key: msgspec.structs.asdict(entry) for key, entry in sorted(topic.entries.items())},
    }
    return json.dumps(document)


async def _print_versions(parent: str, cluster: str, topics: Sequence[str], count: int) -> None:
    loop = asyncio.get_running_loop()
    done = asyncio.Event()
    seen: list[Version] = []

    def topic_changed(topic: Topic) -> None:
        print(printed(topic), flush=True)
        seen.append(topic.version)
        if count and len(seen) >= count:
            done.set()

    name = f"watch-{random.getrandbits(WATCHER_NAME_BITS):08x}"
    node = Node(loop, clock, cluster, name, {parent: parent})
    service = SubscriptionService(node, random.Random(), topic_changed)
    service.start(topics)
    await done.wait()
    service.stop()


def watch(parent: str, cluster: str, topics: Sequence[str], count: int) -> int:
    """Print each new version of the topics until interrupted or `count` are printed (0: no limit).

    Returns the exit code. `parent`: host:port.
    """
    try:
        uvloop.run(_print_versions(parent, cluster, topics, count))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0
