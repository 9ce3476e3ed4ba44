"""Controllers as processes and over sockets: taken over when killed or paused, certificates, strangers, by hand."""

import asyncio
import datetime
import json
import signal
import ssl
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ravenshelf.leadership import link as links
from ravenshelf.leadership.adapter import with_term
from ravenshelf.operator_config import reading
from standins.installation import Installation

ROOT = Path(__file__).resolve().parent.parent


def run(test, seconds=90):
    return asyncio.run(asyncio.wait_for(test, seconds))


def authority(folder, *names, serial=1):
    """Certificates of an authority of the test's own, one for each name."""
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.x509.oid import NameOID

    now = datetime.datetime.now(datetime.UTC)
    top_file = folder / "ca.key"

    def make(name, key, issuer, signer, top):
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        made = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer or subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=2))
            .add_extension(x509.BasicConstraints(ca=top, path_length=None), critical=True)
        )
        if top:
            made = made.add_extension(
                x509.KeyUsage(True, False, False, False, False, True, True, False, False), critical=True
            )
        return made.sign(signer, hashes.SHA256())

    def secret(key):
        return key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )

    if top_file.exists():
        top_key = serialization.load_pem_private_key(top_file.read_bytes(), None)
        top = x509.load_pem_x509_certificate((folder / "ca.pem").read_bytes())
    else:
        top_key = ec.generate_private_key(ec.SECP256R1())
        top = make("authority", top_key, None, top_key, True)
        top_file.write_bytes(secret(top_key))
        (folder / "ca.pem").write_bytes(top.public_bytes(serialization.Encoding.PEM))
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        (folder / f"{name}.key").write_bytes(secret(key))
        (folder / f"{name}.pem").write_bytes(
            make(name, key, top.subject, top_key, False).public_bytes(serialization.Encoding.PEM)
        )


def test_a_killed_and_a_paused_controller_are_taken_over_and_no_older_term_is_obeyed(tmp_path):
    async def test():
        took = []
        installation = await Installation(tmp_path, 3, 120, lease_ms=600, shards=24).start()
        for proxy in installation.proxies:
            proxy.took = lambda p, controller, term, said: took.append((p.number, controller, term))
        try:
            await installation.until(lambda: installation.settled(12), 30)
            had = installation.shards_of("c0")
            release = {"s-0", "s-4", "s-8", "s-11"}  # a third of the fleet drains while it is taken over
            for uid in sorted(release):
                await installation.discovery.change(uid, "DRAINING")
            await installation.kill("c0")
            assert await installation.until(lambda: not installation.shards_of("c0") & had, 15) < 5
            await installation.until(
                lambda: not any(release & (p.table.keys() - p.out) for p in installation.proxies), 5
            )
            for uid in sorted(release):
                await installation.discovery.change(uid, "SERVING", time.time() * 1000)
            await installation.run("c0")
            await installation.until(lambda: installation.settled(12), 30)
            had = installation.shards_of("c1")
            installation.signal("c1", signal.SIGSTOP)
            await installation.until(lambda: not installation.shards_of("c1"), 15)
            await installation.discovery.change("s-3", "DRAINING")
            await installation.until(
                lambda: all("s-3" in p.out or "s-3" not in p.table for p in installation.proxies), 10
            )
            installation.signal("c1", signal.SIGCONT)  # it wakes with streams that it can write to
            await installation.until(lambda: installation.settled(12), 30)
            assert all("s-3" in p.out or "s-3" not in p.table for p in installation.proxies)
            terms = {}
            for proxy, controller, term in took:
                assert term >= terms.get(proxy, (0, 0))[0]
                assert term != terms.get(proxy, (0, 0))[0] or controller == terms[proxy][1]
                terms[proxy] = (term, controller)
        finally:
            await installation.stop()
        assert all(p.returncode == 0 for p in installation.processes.values())

    run(test())


def test_without_a_majority_the_last_one_keeps_binding_and_says_so(tmp_path):
    async def test():
        installation = await Installation(tmp_path, 3, 60, lease_ms=400, shards=8).start()
        try:
            await installation.until(lambda: installation.settled(4), 30)
            own = installation.shards_of("c0")
            await installation.kill("c1")
            await installation.kill("c2")
            await installation.until(
                lambda: installation.admin("c0", {"ask": "status"})["status"]["alone"], 10
            )
            proxy = installation.proxies[min(own)]
            proxy.table = {}
            term = proxy.term
            proxy.streams[0].transport.abort()  # it comes again, and is bound from what is known
            await installation.until(lambda: proxy.table, 10)
            assert proxy.term == term
            assert '"leadership.quorum_lost"' in (tmp_path / "c0.log").read_text()
            await installation.run("c1")
            await installation.until(lambda: all(p.table and p.owner != 2 for p in installation.proxies), 20)
        finally:
            await installation.stop()

    def log(name):
        text = (tmp_path / f"{name}.toml").read_text()
        (tmp_path / f"{name}.toml").write_text('[log]\nformat = "json"\n' + text)

    before = Installation._files
    Installation._files = lambda self, name, listen: (before(self, name, listen), log(name))
    try:
        run(test())
    finally:
        Installation._files = before


def test_by_hand_and_with_certificates_that_are_renewed_in_service(tmp_path):
    async def test():
        authority(tmp_path, "c0", "c1", "c2")
        extra = f'certificate = "{tmp_path}/NAME.pem"\nkey = "{tmp_path}/NAME.key"\nauthority = "{tmp_path}/ca.pem"'
        before = Installation._files

        def files(self, name, listen):
            self.extra = extra.replace("NAME", name)
            before(self, name, listen)

        Installation._files = files
        try:
            installation = await Installation(tmp_path, 3, 90, lease_ms=600, shards=16).start()
        finally:
            Installation._files = before
        try:
            await installation.until(lambda: installation.settled(8), 30)
            socket = str(tmp_path / "c0.sock")

            async def command(*words):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "ravenshelf",
                    "controllers",
                    *words,
                    "--admin",
                    socket,
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                )
                out, err = await process.communicate()
                return process.returncode, out.decode() + err.decode()

            status = json.loads((await command("status", "--json"))[1])
            assert [m["met"] for m in status["members"]] == [True] * 3 and len(status["shards"]) >= 3
            assert "incarnation 1" in (await command("status"))[1]
            code, said = await command("handover", "--to", "nobody")
            assert code == 2 and "expected one of c1, c2" in said
            assert (await command("drain"))[0] == 0
            await installation.until(lambda: not installation.shards_of("c0"), 15)
            authority(tmp_path, "c0", "c1", "c2")  # new keys and certificates under the same names
            for name in installation.names:
                installation.signal(name, signal.SIGHUP)
            assert (await command("drain", "--undo"))[0] == 0
            await installation.until(lambda: installation.settled(8), 20)
            await installation.kill("c2")  # a new connection has to use the new certificate
            await installation.run("c2")
            await installation.until(lambda: installation.settled(8), 30)
            # no certificate of this cluster's authority: not even a hello is heard
            host, _, port = installation.members["c1"].rpartition(":")
            context = ssl.create_default_context()
            context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
            with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
                writer.write(links.frame(["hello", 1, "loopback", "c2", 99, [16, 600_000, 3]]))
                await reader.readexactly(1)
                await reader.readexactly(10_000)
        finally:
            await installation.stop()

    run(test())


@pytest.mark.parametrize(
    "hello, why",
    [
        (["hello", 9, "loopback", "c1", 1, [8, 400_000, 3]], "expected hello in version"),
        (["hello", 1, "other", "c1", 1, [8, 400_000, 3]], "expected cluster loopback"),
        (["hello", 1, "loopback", "c7", 1, [8, 400_000, 3]], "expected another of"),
        (["hello", 1, "loopback", "c0", 1, [8, 400_000, 3]], "expected another of"),
        (["hello", 1, "loopback", "c1", 1, [9, 400_000, 3]], "expected shards, lease and members"),
        (["hello"], "expected hello"),
        (["renew", 1, [], []], "expected hello"),
    ],
)
def test_who_is_no_member_is_refused_with_the_reason(tmp_path, hello, why):
    import random

    from ravenshelf.leadership.service import Leadership
    from ravenshelf.operator_config.tables import Leadership as Table
    from ravenshelf.state.counters import Counters

    async def test():
        table = Table(
            name="c0",
            cluster="loopback",
            shards=8,
            lease_ms=400,
            members={"c0": "127.0.0.1:1", "c1": "127.0.0.1:2", "c2": "127.0.0.1:3"},
        )
        made = Leadership(
            table, str(tmp_path), asyncio.get_running_loop(), Counters(), random.Random(1), lambda why: None
        )

        class Wire:
            def get_extra_info(self, name):
                return None

            def abort(self):
                pass

            def write(self, data):
                pass

        link = made.connections.make_link()
        link.connection_made(Wire())
        assert why in made.connections.hello_received(link, hello)
        assert (
            made.connections.hello_received(link, ["hello", 1, "loopback", "c1", 5, [8, 400_000, 3]]) is None
        )
        older = made.connections.make_link()
        older.connection_made(Wire())
        assert "incarnation 5 or later" in made.connections.hello_received(
            older, ["hello", 1, "loopback", "c1", 4, [8, 400_000, 3]]
        )
        made.store.committer.close()
        made.store.journal.close()

    run(test())


@given(st.lists(st.binary(max_size=40)), st.integers(1, 9))
@settings(max_examples=150, deadline=None)
def test_frames_come_whole_however_they_are_cut_and_nothing_else_comes(bodies, size):
    data = b"".join(links.frame(["m", body]) for body in bodies)
    frames, got = links.Frames(), []
    for start in range(0, len(data), size):
        got += frames.feed(data[start : start + size])
    assert got == [["m", body] for body in bodies]


@given(st.binary(max_size=60))
@settings(max_examples=150, deadline=None)
def test_octets_of_others_are_refused_or_waited_for(data):
    try:
        assert all(isinstance(m, list) for m in links.Frames().feed(data))
    except ValueError:
        pass


def test_an_order_carries_its_term_first():
    assert with_term(b"CONFIG whole=1 lines=a:1\r\n", 130) == b"CONFIG term=130 whole=1 lines=a:1\r\n"


@pytest.mark.parametrize(
    "said, why",
    [
        (
            {
                "leadership": {"name": "c9", "cluster": "x", "members": {"c0": "a:1"}},
                "store": {"folder": "f"},
            },
            "expected one of members",
        ),
        (
            {"leadership": {"name": "c0", "cluster": "x", "members": {"c0": "a"}}, "store": {"folder": "f"}},
            "expected host:port",
        ),
        (
            {"leadership": {"name": "c0", "members": {"c0": "a:1"}}, "store": {"folder": "f"}},
            "cluster: found nothing",
        ),
        (
            {"leadership": {"name": "c0", "cluster": "x", "members": {"c0": "a:1"}}},
            "[store] folder: found nothing",
        ),
        (
            {
                "leadership": {"name": "c0", "cluster": "x", "members": {"c0": "a:1", "c1": "a:1"}},
                "store": {"folder": "f"},
            },
            "own",
        ),
        (
            {
                "leadership": {"name": "c0", "cluster": "x", "members": {"c0": "a:1"}, "key": "k"},
                "store": {"folder": "f"},
            },
            "together",
        ),
    ],
)
def test_what_is_wrong_with_the_leadership_table(said, why):
    with pytest.raises(reading.OperatorConfigurationError) as told:
        reading.check(said, "f")
    assert why in str(told.value)
    assert time.monotonic()
