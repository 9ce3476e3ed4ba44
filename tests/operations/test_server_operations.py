"""A server with the features that an operator file enables, and processes that read such a file."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from ravenshelf.operator_config.decoding import decode
from ravenshelf.process.clock import Clock
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.operations.composer import Operations
from standins import collectd as collectd_sender
from standins.carbon import CarbonReceiver, StopReading
from standins.loopback import LoopbackProxy, LoopbackRegistry, registry_entry, server_configuration

ROOT = Path(__file__).resolve().parent.parent.parent


def test_a_server_exports_metrics_and_reads_collectd_packets_while_a_receiver_hangs(tmp_path):
    async def test():
        loop = asyncio.get_running_loop()
        discovery = await LoopbackRegistry(
            [registry_entry(f"s-{number}", "north") for number in range(4)]
        ).start()
        receiver, hanging_receiver = (
            await CarbonReceiver().start(),
            await CarbonReceiver([StopReading()], buffer_bytes=2048).start(),
        )
        (tmp_path / "users").write_text("u: pw\n")
        operator = decode(
            {
                "graphite": {"receivers": [receiver.address, hanging_receiver.address], "every_s": 1},
                "collectd": {
                    "listen": "127.0.0.1:0",
                    "security": "sign",
                    "users": str(tmp_path / "users"),
                    "hosts": {"machine": ["s-0", "s-1"]},
                },
            },
            "f",
        )
        server = ControlPlaneServer(server_configuration(discovery.address, ["north"], 2), loop, Clock())
        await server.start()
        server.optional_features = Operations(operator, server, random.Random(1))
        await server.optional_features.start()
        address = f"127.0.0.1:{server.listener.sockets[0].getsockname()[1]}"
        proxies = [LoopbackProxy(lambda: address, number, "north") for number in range(2)]
        tasks = [loop.create_task(proxy.run()) for proxy in proxies]
        await receiver.wait_until(
            lambda: any(
                path.endswith("proxies.bound") and value == 2 for (path, _), value in receiver.points.items()
            )
        )
        host, collectd_address = (
            collectd_sender.SimulatedHost("machine", busy_share=0.9),
            server.optional_features.collectd.listener.transport.get_extra_info("sockname"),
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            now = server.clock() / 1e6
            for number in range(3):
                udp_socket.sendto(
                    collectd_sender.sign(host.packet(now - 20 + 10 * number), "u", "pw"), collectd_address
                )
            udp_socket.sendto(host.packet(now), collectd_address)
        endpoints = server.control_cycle.controller.endpoints
        await receiver.wait_until(
            lambda: any(
                path.endswith("collectd.rejected_per_s") and value
                for (path, _), value in receiver.points.items()
            )
        )
        assert [endpoints[index].host_load.read(server.clock())[0] > 0 for index in range(4)] == [
            True,
            True,
            False,
            False,
        ]
        names = {path.split(".", 2)[2] for path, _ in receiver.points}
        assert {
            "process.memory_mb",
            "channel.queue_lines",
            "group.order.weighted_goodput_per_s",
            "control_cycles.duration_ms.p99",
            f"graphite.{hanging_receiver.address.replace('.', '_').replace(':', '_')}.queued_points",
        } <= names
        assert (
            all(path.startswith("ravenshelf.toy.") for path, _ in receiver.points)
            and not receiver.malformed_lines
        )
        # the new operator file has another receiver, and no collectd listener
        new_receiver = await CarbonReceiver().start()
        reloaded_tables = []
        server.optional_features.reload(
            decode({"graphite": {"receivers": [new_receiver.address], "every_s": 1, "prefix": "x"}}, "f"),
            reloaded_tables.append,
        )
        assert reloaded_tables == ["[graphite], [collectd]"]
        await new_receiver.wait_until(
            lambda: any(path.startswith("x.toy.") for path, _ in new_receiver.points)
        )
        server.optional_features.reload(decode({}, "f"), reloaded_tables.append)
        assert (
            server.control_cycle.cycle_observer is None
            and not server.observers
            and server.optional_features.metrics.service is None
        )
        for task in tasks:
            task.cancel()
        server.stop()
        for started_receiver in (receiver, hanging_receiver, new_receiver):
            await started_receiver.stop()

    asyncio.run(asyncio.wait_for(test(), 40))


def test_sighup_reloads_a_valid_operator_file_and_rejects_an_invalid_one(tmp_path):
    async def test():
        discovery, receiver = (
            await LoopbackRegistry([registry_entry("s-0", "north")]).start(),
            await CarbonReceiver().start(),
        )
        (tmp_path / "c.json").write_text(json.dumps(server_configuration(discovery.address, ["north"], 1)))
        file = tmp_path / "operator.toml"
        file.write_text("[log]\nformat = 'json'\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ravenshelf",
            "serve",
            "--config",
            str(tmp_path / "c.json"),
            "--operator",
            str(file),
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )

        async def logged_event(name):
            while True:
                line = json.loads(await process.stderr.readline())
                if line["event"] == name:
                    return line

        assert (await logged_event("server.listening"))["name"] == "toy"
        file.write_text("[graphite]\nevery = 3\n")
        process.send_signal(signal.SIGHUP)
        assert "did you mean every_s?" in (await logged_event("operator_configuration.rejected"))["why"]
        file.write_text(
            f"[log]\nformat = 'json'\n[graphite]\nreceivers = ['{receiver.address}']\nevery_s = 1\n"
        )
        process.send_signal(signal.SIGHUP)
        assert (await logged_event("operator_configuration.reloaded"))["changed"] == "[graphite]"
        await receiver.wait_until(lambda: receiver.points)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        await receiver.stop()

    asyncio.run(asyncio.wait_for(test(), 40))


def test_check_reads_the_configuration_file_and_the_operator_file(tmp_path):
    (tmp_path / "o.toml").write_text("[graphite]\nrecievers = []\n")
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "ravenshelf",
            "check",
            "--config",
            "examples/config.json",
            "--operator",
            str(tmp_path / "o.toml"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2 and "did you mean receivers?" in result.stderr


def test_the_toy_example_starts_a_server_prints_tables_and_ends_on_sigint():
    process = subprocess.Popen(
        [sys.executable, "-m", "examples.toy", "--with-pilot"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )
    while "lines=" not in (line := process.stdout.readline()):
        assert line
    process.send_signal(signal.SIGINT)
    remaining_output = process.stdout.read()
    assert process.wait(20) == 0 and "ended: the proxy's table was {'s-" in remaining_output
