"""Parsing of types.db and of the password file, and the validity of changed passwords."""

import pytest

from ravenshelf.collectd import types, users

SECOND = 1_000_000


def test_types_are_parsed_and_errors_name_the_malformed_line():
    types_by_name = types.parse("# none\nif_octets rx:DERIVE:0:U, tx:derive:0:100\n")
    assert types_by_name["if_octets"] == (("rx", 2, 0.0, float("inf")), ("tx", 2, 0.0, 100.0))
    for malformed_line in ("x", "x value:DERIVE:0", "x value:SOME:0:U", "x value:GAUGE:a:U"):
        with pytest.raises(types.TypesFileError, match=r"file:2: .*expected name:KIND"):
            types.parse(f"load a:GAUGE:0:U\n{malformed_line}", "file")


def test_a_changed_password_stays_valid_for_a_while_and_a_removed_user_is_rejected_at_once():
    current_users = users.Users({"u": b"old", "v": b"v"})
    current_users.update({"u": b"new"}, 0)
    assert (
        current_users.valid_passwords("u", 59 * SECOND) == [b"new", b"old"]
        and current_users.valid_passwords("v", 1) == []
    )
    assert current_users.valid_passwords("u", 60 * SECOND) == [b"new"]


@pytest.mark.parametrize(
    "text",
    ["u", "u:", ": pw", "u: a\nu: b"],
    ids=["no colon", "no password", "no user", "a user twice"],
)
def test_errors_name_the_malformed_line_of_the_password_file(text):
    with pytest.raises(users.UsersFileError, match=r"auth:\d: expected"):
        users.parse(text, "auth")
