"""Decoding the JSON object of the settings to typed values."""

import pytest

from ravenshelf.settings import (
    Idempotency,
    LimitSettings,
    ServiceSettings,
    Settings,
    SettingsError,
    TelemetrySettings,
    TrafficGroup,
    WarmUpSettings,
    decode_settings,
)


def test_an_empty_object_decodes_to_the_defaults():
    assert decode_settings({}) == Settings()


def test_every_key_is_mapped_to_its_field():
    decoded = decode_settings(
        {
            "azs": ["a", "b"],
            "kinds": ["m1"],
            "balancers": 3,
            "discovery": "pushed",
            "weights": "rough",
            "tick-ms": 4.0,
            "classes": [
                {
                    "name": "pay",
                    "importance": 5.0,
                    "objective-ms": 0.5,
                    "deadline-ms": 3000.0,
                    "idempotency": "token",
                }
            ],
            "family-info": {
                "proxy-count": 16,
                "by-zone": True,
                "lines-per-s": 1400.0,
                "envelope": 3.0,
                "most-waiting": 2100.0,
                "messages-most": 30,
                "counted-over-ms": 9000.0,
                "late-most-ms": 795.0,
                "level-kind": "per_second",
                "outlier-after": 5,
            },
            "rules": {
                "cold-share": 0.16,
                "warm-after-ms": 16000.0,
                "fall-multiple": 3.0,
                "removal-not-binding": True,
                "drain-grace-ms": 1500.0,
            },
            "telemetry": {"columns": ["active"], "how": "answers"},
            "limits": {"probing": True, "dial-timeout-ms": 250.0, "peer-messages": True},
            "goal": {"whole": 0.7},
        }
    )
    assert decoded == Settings(
        zones=("a", "b"),
        machine_kinds=("m1",),
        server_count=3,
        discovery="pushed",
        weight_kind="rough",
        tick_us=4000,
        traffic_groups=(TrafficGroup("pay", 5.0, 500, 3_000_000, Idempotency.IDEMPOTENT_WITH_KEY),),
        service=ServiceSettings(
            proxy_count=16,
            proxies_join_by_zone=True,
            lines_per_second=1400.0,
            message_overhead_lines=3.0,
            queue_limit_lines=2100.0,
            messages_per_proxy_limit=30,
            message_count_window_us=9_000_000,
            longest_delivery_us=795_000,
            admission_level_kind="per_second",
            outlier_after_failures=5,
        ),
        warm_up=WarmUpSettings(0.16, 16_000_000, 3.0, True, 1_500_000),
        telemetry=TelemetrySettings("answers", ("active",)),
        limits=LimitSettings(True, 250_000, True),
    )


def test_keys_may_be_written_with_underscores():
    assert decode_settings({"family_info": {"proxy_count": 4}}) == decode_settings(
        {"family-info": {"proxy-count": 4}}
    )


@pytest.mark.parametrize(
    "raw, path",
    [
        ([], "settings"),
        ({"classes": {}}, "classes"),
        ({"classes": [{"name": 1}]}, "classes[0].name"),
        ({"classes": [{}, {"objective-ms": "fast"}]}, "classes[1].objective-ms"),
        ({"family-info": {"lines-per-s": True}}, "family-info.lines-per-s"),
        ({"rules": "none"}, "rules"),
        ({"azs": "a"}, "azs"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_an_invalid_value_is_rejected_with_its_path(raw, path):
    with pytest.raises(SettingsError) as error_info:
        decode_settings(raw)
    assert error_info.value.path == path
    assert path in str(error_info.value)


@pytest.mark.parametrize("word", ["unknown-value", ""])
def test_an_unknown_idempotency_counts_as_non_idempotent(word):
    assert decode_settings({"classes": [{"idempotency": word}]}).traffic_groups[0].idempotency is (
        Idempotency.NON_IDEMPOTENT
    )
