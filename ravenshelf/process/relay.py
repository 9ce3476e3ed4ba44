"""A relay's process: its log, its loop, its signals; and a subscriber that prints what it gets."""

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
from ravenshelf.distribution.relay_service import RelayService
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.leadership.admin import serve_answers
from ravenshelf.leadership.cluster import clock
from ravenshelf.operator_config.tables import Distribution, Operator
from ravenshelf.process import logs

TREE = "tree"
SNAPSHOT_BURST_S = 0.25  # seconds of the snapshot budget that may be spent at once


def limits(table: Distribution) -> DistributorLimits:
    """The bounds that the operator file gives."""
    a_second = table.snapshot_mb_s * 1e6
    return DistributorLimits(table.subscribers, a_second, a_second * SNAPSHOT_BURST_S)


def answer(service: RelayService, asked: dict) -> dict:
    """What an operator is told."""
    if asked.get("ask") == "status":
        return {"status": service.status()}
    return {"error": f"ask: found {asked.get('ask')!r}, expected status"}


async def serve(operator: Operator) -> None:
    """Runs the relay until SIGTERM or SIGINT."""
    table = operator.distribution
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    upstreams = {name: [name] for name in table.parents} if table.owners else {TREE: list(table.parents)}
    service = RelayService(
        loop,
        clock,
        table.cluster,
        table.name,
        upstreams,
        table.parents,
        random.Random(),
        limits(table),
        table.owners,
    )
    address = await service.start(table.listen)
    admin = await serve_answers(lambda asked: answer(service, asked), table.admin) if table.admin else None
    figures = None
    if operator.graphite.receivers:  # else nothing of it is loaded
        from ravenshelf.process.relay_figures import RelayFigures

        figures = RelayFigures(operator, service, loop)
    log_events.RELAY_LISTENING(name=table.name, address=address, parents=len(table.parents))
    await ended.wait()
    if admin is not None:
        admin.close()
    if figures is not None:
        figures.stop()
    service.stop()
    log_events.RELAY_STOPPED(name=table.name, snapshot_bytes=service.relay.distributor.snapshot_bytes)


def run(operator: Operator, level: str) -> int:
    """Runs the relay of the operator file; gives the exit code."""
    sink = logs.start(level, operator.log.format)
    try:
        uvloop.run(serve(operator))
        code = 0
    except OSError as error:
        log_events.DISTRIBUTION_FAILED(why=str(error))
        code = 1
    sink.finish(logs.FLUSH_TIMEOUT)
    return code


def printed(topic: Topic) -> str:
    """A topic's state as a line of JSON."""
    said = {
        "topic": topic.name,
        "epoch": topic.version.epoch,
        "sequence": topic.version.sequence,
        "entries": {key: msgspec.structs.asdict(entry) for key, entry in sorted(topic.entries.items())},
    }
    return json.dumps(said)


def watch(parent: str, cluster: str, topics: Sequence[str], count: int) -> int:
    """Prints each new version of the topics, until it is interrupted or has printed `count` (0: no bound)."""

    async def follow() -> None:
        loop, done, seen = asyncio.get_running_loop(), asyncio.Event(), []

        def changed(topic: Topic) -> None:
            print(printed(topic), flush=True)
            seen.append(topic.version)
            if count and len(seen) >= count:
                done.set()

        service = SubscriptionService(
            loop,
            clock,
            cluster,
            f"watch-{random.getrandbits(32):08x}",
            [parent],
            {parent: parent},
            random.Random(),
            changed,
        )
        service.start(topics)
        await done.wait()
        service.stop()

    try:
        uvloop.run(follow())
    except KeyboardInterrupt:
        return 130
    return 0
