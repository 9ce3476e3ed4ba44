"""Checks what single keys cannot show: whether the values of several keys go together."""

from collections.abc import Iterator

from ravenshelf.operator_config.errors import Problem, shown
from ravenshelf.operator_config.tables import OperatorConfiguration

MAX_PORT = 65535
HOST_PORT = "host:port"
NOTHING = "nothing"


def consistency_problems(operator: OperatorConfiguration, file: str) -> list[Problem]:
    """Return the problems of a file whose single keys are valid."""
    return [
        *_graphite_problems(operator, file),
        *_collectd_problems(operator, file),
        *_leadership_problems(operator, file),
        *_distribution_problems(operator, file),
        *_background_problems(operator, file),
    ]


def _is_address(text: str, zero_port: bool = True) -> bool:
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or int(port) > MAX_PORT:
        return False
    return zero_port or not text.endswith(":0")


def _graphite_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.graphite
    for number, receiver in enumerate(table.receivers):
        path = f"[graphite] receivers[{number}]"
        if not _is_address(receiver, zero_port=False):
            yield Problem(file, path, shown(receiver), HOST_PORT)
        if receiver in table.receivers[:number]:
            yield Problem(file, path, f"{shown(receiver)} again", "each once")
    if table.spool_mb and not table.spool_dir:
        yield Problem(file, "[graphite] spool_dir", NOTHING, "a folder, since spool_mb is given")
    if table.spool_dir and not table.spool_mb:
        yield Problem(file, "[graphite] spool_mb", "0", "a bound, since spool_dir is given")


def _collectd_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.collectd
    if table.listen and not _is_address(table.listen):
        yield Problem(file, "[collectd] listen", shown(table.listen), HOST_PORT)
    if table.security != "none" and not table.users:
        expected = f'a file, since security is "{table.security}"'
        yield Problem(file, "[collectd] users", NOTHING, expected)


def _background_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.background
    if table.turn_ms > table.a_second_ms:
        expected = f"at most a_second_ms ({table.a_second_ms:g})"
        yield Problem(file, "[background] turn_ms", f"{table.turn_ms:g}", expected)


def _leadership_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.leadership
    if not table.name:
        return
    if table.name not in table.members:
        expected = f"one of members: {', '.join(sorted(table.members))}"
        yield Problem(file, "[leadership] name", shown(table.name), expected)
    yield from _member_problems(operator, file)
    if not table.cluster:
        yield Problem(file, "[leadership] cluster", NOTHING, "a name that all members share")
    if not operator.store.folder:
        yield Problem(file, "[store] folder", NOTHING, "a folder, since [leadership] is on")
    certificate_keys = ("certificate", "key", "authority")
    given = [key for key in certificate_keys if getattr(table, key)]
    if given and len(given) < len(certificate_keys):
        expected = "certificate, key and authority together"
        yield Problem(file, "[leadership]", f"{', '.join(given)} alone", expected)


def _member_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    from ravenshelf.leadership.decisions import TERM_STRIDE

    members = operator.leadership.members
    for name, address in members.items():
        if not _is_address(address):
            yield Problem(file, f"[leadership] members.{name}", shown(address), HOST_PORT)
    if len(members) > TERM_STRIDE or len(set(members.values())) < len(members):
        expected = f"up to {TERM_STRIDE}, each at an address of its own"
        yield Problem(file, "[leadership] members", shown(members), expected)


def _distribution_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.distribution
    if not table.name:
        return
    if not table.cluster:
        expected = "a name that all relays and controllers share"
        yield Problem(file, "[distribution] cluster", NOTHING, expected)
    if bool(table.service) == bool(table.listen):
        found = "both service and listen" if table.service else "neither service and listen"
        yield Problem(file, "[distribution]", found, "service for a pilot or listen for a relay")
    if "@" in table.service or "/" in table.service:
        yield Problem(file, "[distribution] service", shown(table.service), "a name without @ and /")
    if table.listen and not _is_address(table.listen):
        yield Problem(file, "[distribution] listen", shown(table.listen), HOST_PORT)
    if table.services:
        yield from _service_owner_problems(operator, file)
    elif not table.parents:
        yield Problem(file, "[distribution] parents", "none", 'one or more of name = "host:port"')
    for name, address in table.parents.items():
        path = f"[distribution] parents.{name}"
        if not _is_address(address, zero_port=False):
            yield Problem(file, path, shown(address), HOST_PORT)
        if name == table.name:
            yield Problem(file, path, "this relay itself", "others")


def _service_owner_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.distribution
    leadership = operator.leadership
    if not table.listen:
        yield Problem(file, "[distribution] listen", NOTHING, "host:port, since services is given")
    if leadership.name != table.name:
        expected = "the name of [leadership], since services is given"
        yield Problem(file, "[distribution] name", shown(table.name), expected)
    other_members = sorted(set(leadership.members) - {leadership.name})
    if sorted(table.parents) != other_members:
        expected = f"the other members: {', '.join(other_members)}"
        yield Problem(file, "[distribution] parents", shown(sorted(table.parents)), expected)
