"""Drains are kept and the queue stays short after streams break during a deploy, on seeded schedules."""

from dataclasses import replace
from functools import partial

import pytest
from drain_schedule import Deployment, DrainSchedule

from ravenshelf.policy.events import ListKind
from ravenshelf.time_units import SECOND

LARGE = Deployment()
# Few messages to a proxy, and little time for a drain.
FEW_MESSAGES = Deployment(
    zones=3,
    endpoints=21,
    proxies=12,
    lines_per_second=1500.0,
    queue_limit=3000,
    message_limit=12,
    mean_delivery=178_000,
    drain_grace=3 * SECOND // 2,
    reconnect_time=(0.1, 2.5),
    drained_together=3,
)
# Lists are late, so that a drain and the removal after it often arrive together, and removal does not bind.
LATE_LISTS = replace(FEW_MESSAGES, removal_binds=False, drain_time=(0.1, 1.0), list_delay=(0.2, 4.0))
DEPLOY_START_S, DEPLOY_TIME_S, END_S = 4.0, 20.0, 32.0
# The streams break as soon as so many of the permitted lines are queued, drawn by seed.
QUEUE_SHARES = (0.0, 0.1, 0.2, 0.4, 0.5)


def reset_all(schedule):
    schedule.reset_streams()


def reset_several_times(schedule, count=3):
    for number in range(count):
        pause = schedule.random_source.uniform(0.3, 4) * number
        schedule.call_at(schedule.elapsed_seconds() + pause, schedule.reset_streams)


def reset_some(schedule):
    count = schedule.random_source.randrange(len(schedule.proxies) // 3, len(schedule.proxies))
    schedule.reset_streams(schedule.random_source.sample(schedule.proxies, count))


def reset_one_by_one(schedule):
    for number, proxy in enumerate(schedule.proxies):
        schedule.call_at(schedule.elapsed_seconds() + number * 0.12, partial(schedule.reset_streams, [proxy]))


def reset_all_but_silent_proxies(schedule):
    """Break the other streams; lines of three proxies that never acknowledge stay unconfirmed."""
    schedule.reset_streams([proxy for proxy in schedule.proxies if proxy.acknowledges])


def stop_server(schedule):
    server = schedule.servers[0]
    server.is_stopped = True
    schedule.reset_streams()
    schedule.call_at(schedule.elapsed_seconds() + 0.8, partial(setattr, server, "is_stopped", False))


def move_to_the_other_server(schedule):
    moving_proxies = [proxy for proxy in schedule.proxies if proxy.server is schedule.servers[0]]
    schedule.reset_streams(moving_proxies, schedule.servers[1])
    schedule.call_at(
        schedule.elapsed_seconds() + 5,
        partial(schedule.reset_streams, moving_proxies, schedule.servers[0]),
    )


def reload_the_list(schedule):
    """Break all streams and move the registry: its new address sends the whole list."""
    schedule.reset_streams()
    schedule.servers[0].deliver_list(ListKind.REPLACE, schedule.endpoints.values())


def replace_the_controller(schedule):
    """Break all streams, and let the controller fail once while the proxies return."""

    def fail(*_):
        raise RuntimeError("a failure of the controller")

    def break_controller():
        schedule.servers[0].cycle.controller.run_cycle = fail

    schedule.reset_streams()
    schedule.call_at(schedule.elapsed_seconds() + schedule.random_source.uniform(0, 2.5), break_controller)


def restart_the_server(schedule):
    """Break all streams; the server starts again with the list that it held last."""
    server = schedule.servers[0]
    known_entries = server.registry.snapshot()
    names = server.registry.names
    schedule.reset_streams()
    server.start_process(
        [replace(schedule.endpoints[names[entry.endpoint]], state=entry.state) for entry in known_entries]
    )


DISRUPTIONS = {
    function.__name__: function
    for function in (
        reset_all,
        reset_several_times,
        reset_some,
        reset_one_by_one,
        reset_all_but_silent_proxies,
        stop_server,
        move_to_the_other_server,
        reload_the_list,
        replace_the_controller,
        restart_the_server,
    )
}


def play(disruption, seed, deployment):
    """Run a deploy in which the disruption comes once, and return the schedule."""
    server_count = 2 if disruption is move_to_the_other_server else 1
    schedule = DrainSchedule(seed, deployment, server_count, (0.0, 0.1)[seed // 2 % 2])
    if disruption is reset_all_but_silent_proxies:
        for proxy in schedule.random_source.sample(schedule.proxies, 3):
            proxy.acknowledges = False
    schedule.replace_endpoints(DEPLOY_START_S, DEPLOY_TIME_S)
    required_lines = schedule.random_source.choice(QUEUE_SHARES) * deployment.queue_limit

    def disrupt():
        queued_lines = max(server.channel.queued_lines() for server in schedule.servers)
        if queued_lines < required_lines and schedule.elapsed_seconds() < DEPLOY_START_S + DEPLOY_TIME_S:
            schedule.events.call_later(SECOND // 50, disrupt)
        else:
            disruption(schedule)

    schedule.call_at(DEPLOY_START_S + schedule.random_source.uniform(1, 9), disrupt)
    return schedule.run(END_S)


@pytest.mark.parametrize("disruption", DISRUPTIONS.values(), ids=DISRUPTIONS.keys())
@pytest.mark.parametrize(
    "deployment", [LARGE, FEW_MESSAGES, LATE_LISTS], ids=["large", "few messages", "late lists"]
)
def test_drains_are_kept_after_streams_break_during_a_deploy(disruption, deployment, schedule_seed):
    """Guards against drains that wait or are forgotten after a reset, a restart, a move or a reload.

    Lines of broken streams must not count as queued for 20 s and block binds and ejections, and a drain must
    not be forgotten when its removal follows.
    """
    assert play(disruption, schedule_seed, deployment).violations() == []
