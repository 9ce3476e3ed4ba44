"""Writer of tests/fixtures/distribution/messages.json, with encoded samples of all distribution messages.

The samples are built with positional arguments, so that renamed fields do not change them. The script is run
only when a message type is added. The bytes of existing samples must never change, because other versions of
the program read them.

    python tools/write_distribution_fixtures.py
"""

import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ravenshelf.distribution import messages  # noqa: E402

FIXTURES = ROOT / "tests" / "fixtures" / "distribution" / "messages.json"


def samples() -> dict[str, messages.Message]:
    """Return one or more samples of each message type, by name."""
    version, later_version = messages.Version(3, 17), messages.Version(4, 1)
    annotations = messages.ZoneLoadReport.__annotations__
    endpoint_load = annotations["endpoints"].__args__[1]
    group_load = annotations["groups"].__args__[1]
    return {
        "hello": messages.Hello(messages.PROTOCOL, "lisbon", "relay-1-0"),
        "subscribe_new": messages.Subscribe("checkout@0", messages.NEVER),
        "subscribe_known": messages.Subscribe("checkout@", version),
        "unsubscribe": messages.Unsubscribe("checkout@2"),
        "snapshot_empty": messages.Snapshot("checkout@1", later_version, 0, 1, {}),
        "snapshot_entries": messages.Snapshot(
            "checkout@",
            version,
            1,
            3,
            {
                "e:s-17": messages.EndpointEntry(0, True, 4.0, 1_764_000_000_000_000),
                "e:s-18": messages.EndpointEntry(2, False, 0.5),
                "t:s-17": messages.TableLine(333.33),
                "t:s-18": messages.TableLine(1.25, 0.0625),
                "l:0": messages.AdmissionLevel(0.75, 2),
                "c:limit": messages.Setting("30"),
            },
        ),
        "delta": messages.Delta(
            "checkout@0", version, later_version, {"t:s-17": messages.TableLine(500.0), "t:s-18": None}
        ),
        "delta_empty": messages.Delta("published/7", messages.NEVER, later_version, {}),
        "heartbeat_zero": messages.Heartbeat(0),
        "heartbeat_largest": messages.Heartbeat(2**64 - 1),
        "resync": messages.Resync({"checkout@": version, "checkout@0": messages.NEVER}),
        "topic_live": messages.TopicLive("checkout@0", True),
        "topic_not_live": messages.TopicLive("checkout@0", False),
        "report": messages.ZoneLoadReport(
            "checkout",
            1,
            1_764_000_000,
            "relay-1-0#00a1b2c3d4e5",
            42,
            {"s-17": endpoint_load(100, 3, 1_234_567), "s-18": endpoint_load(1, 1)},
            {0: group_load(90, 2), 3: group_load(11)},
        ),
        "report_empty": messages.ZoneLoadReport("checkout", 0, 0, "own", 1, {}, {}),
    }


def main() -> None:
    """Write the samples to FIXTURES, encoded as hexadecimal text."""
    FIXTURES.parent.mkdir(parents=True, exist_ok=True)
    encoded = {name: messages.encode(message).hex() for name, message in samples().items()}
    FIXTURES.write_text(json.dumps(encoded, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
