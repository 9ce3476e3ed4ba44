"""Names that other programs, operators or stored data depend on are still in the code."""

import re

from tools import outer_names

LEAST_NAMES_BY_KIND = 2  # If a kind has fewer names than this, the script no longer finds them.


def listed() -> list[str]:
    """Return the lines of the list."""
    return outer_names.NAMES_FILE.read_text(encoding="utf-8").splitlines()


def test_every_listed_name_is_still_in_the_code():
    """A name that is missing was renamed, or the script no longer reads the module that holds it."""
    present = set(outer_names.lines(outer_names.outer_names()))
    assert [name for name in listed() if name not in present] == []


def test_the_list_is_complete():
    """A new name is added by `python -m tools.outer_names --write`."""
    names = listed()
    assert [name for name in outer_names.lines(outer_names.outer_names()) if name not in names] == []


def test_every_kind_has_names():
    kinds = re.findall(r"^([^:]+):", "\n".join(listed()), re.MULTILINE)
    assert {*outer_names.MODULES_BY_KIND, "counters", "commands", "log events", "metrics"} <= set(kinds)
    assert all(kinds.count(kind) >= LEAST_NAMES_BY_KIND for kind in kinds)
