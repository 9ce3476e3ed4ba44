"""The configuration file of a server: errors and environment variables."""

import json

import pytest
from conftest import SETTINGS
from server_doubles import CONFIGURATION

from ravenshelf.process import configuration


@pytest.mark.parametrize(
    "change, error",
    [
        ({"listen": "here"}, "listen: expected host:port"),
        ({"discovery": None}, "discovery: expected host:port"),
        ({"discovery": "h:99999"}, "discovery: expected host:port"),
        ({"seed": "xyz"}, "seed: expected hexadecimal"),
        ({"settings": []}, "settings: expected an object"),
        ({"settings": {"azs": ["a"]}}, "settings.classes"),
        ({"settings": SETTINGS | {"classes": ["a"]}}, "settings.classes: expected objects"),
        ({"limits": 5}, "limits: expected an object"),
        ({"limits": {"sockets": "9"}}, "limits.sockets"),
        ({"peers": "a"}, "peers: expected a list"),
        ({"peers": ["a"]}, "peers[0]: expected host:port"),
        ({"peer_listen": 7}, "peer_listen"),
        ({"known": {"rev": 4}}, "known: expected"),
    ],
)
def test_an_invalid_configuration_names_the_field(tmp_path, change, error):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONFIGURATION | change))
    with pytest.raises(
        configuration.ConfigurationError, match=f"^{error}".replace("[", r"\[").replace("]", r"\]")
    ):
        configuration.read(str(file), {})


@pytest.mark.parametrize(
    "text, error", [(None, "config.json: No such file"), ("{", "expected JSON"), ("[]", "expected an object")]
)
def test_a_missing_or_unreadable_configuration_is_rejected(tmp_path, text, error):
    file = tmp_path / "config.json"
    if text is not None:
        file.write_text(text)
    with pytest.raises(configuration.ConfigurationError, match=error):
        configuration.read(None, {"RELAY_CONFIG": str(file)})
    with pytest.raises(configuration.ConfigurationError, match="RELAY_CONFIG"):
        configuration.read(None, {})


def test_environment_variables_fill_in_missing_fields(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(
            {name: value for name, value in CONFIGURATION.items() if name not in ("listen", "name")}
            | {"colour": "blue"}
        )
    )
    configuration_read = configuration.read(
        str(file), {"RELAY_LISTEN": "127.0.0.1:5", "RELAY_NAME": "n7", "RELAY_DISCOVERY": "x"}
    )
    assert (configuration_read["listen"], configuration_read["name"], configuration_read["discovery"]) == (
        "127.0.0.1:5",
        "n7",
        "127.0.0.1:1",
    )
    assert "n7" in configuration.summary(configuration_read)
