"""Checks of an operator file that concern several keys, or that the type of a key can't express."""

from collections.abc import Iterator

from ravenshelf.operator_config.errors import Problem, shortened_repr
from ravenshelf.operator_config.tables import OperatorConfiguration

MAX_PORT = 65535
HOST_PORT = "host:port"
NOTHING = "nothing"


def consistency_problems(operator: OperatorConfiguration, file: str) -> list[Problem]:
    """Return the problems of an operator file in which each key by itself is valid.

    Args:
        operator: The operator file's tables.
        file: The file's path for the problems.
    """
    return [
        *_graphite_problems(operator, file),
        *_collectd_problems(operator, file),
        *_leadership_problems(operator, file),
        *_distribution_problems(operator, file),
        *_background_problems(operator, file),
    ]


def _is_address(text: str, allow_zero_port: bool = True) -> bool:
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or int(port) > MAX_PORT:
        return False
    return allow_zero_port or not text.endswith(":0")


def _graphite_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.graphite
    for number, receiver in enumerate(table.receivers):
        path = f"[graphite] receivers[{number}]"
        if not _is_address(receiver, allow_zero_port=False):
            yield Problem(file, path, shortened_repr(receiver), HOST_PORT)
        if receiver in table.receivers[:number]:
            yield Problem(file, path, f"{shortened_repr(receiver)} again", "each receiver once")
    if table.spool_mb and not table.spool_dir:
        yield Problem(file, "[graphite] spool_dir", NOTHING, "a folder, since spool_mb is given")
    if table.spool_dir and not table.spool_mb:
        yield Problem(file, "[graphite] spool_mb", "0", "a size above 0, since spool_dir is given")


def _collectd_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.collectd
    if table.listen and not _is_address(table.listen):
        yield Problem(file, "[collectd] listen", shortened_repr(table.listen), HOST_PORT)
    if table.security != "none" and not table.users:
        expectation = f'a file of users, since security is "{table.security}"'
        yield Problem(file, "[collectd] users", NOTHING, expectation)


def _background_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.background
    if table.turn_ms > table.a_second_ms:
        expectation = f"at most a_second_ms ({table.a_second_ms:g})"
        yield Problem(file, "[background] turn_ms", f"{table.turn_ms:g}", expectation)


def _leadership_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.leadership
    if not table.name:
        return
    if table.name not in table.members:
        expectation = f"one of members: {', '.join(sorted(table.members))}"
        yield Problem(file, "[leadership] name", shortened_repr(table.name), expectation)
    yield from _member_problems(operator, file)
    if not table.cluster:
        yield Problem(file, "[leadership] cluster", NOTHING, "a name that all members share")
    if not operator.store.folder:
        yield Problem(file, "[store] folder", NOTHING, "a folder, since [leadership] has a name")
    certificate_keys = ("certificate", "key", "authority")
    configured_keys = [key for key in certificate_keys if getattr(table, key)]
    if configured_keys and len(configured_keys) < len(certificate_keys):
        expectation = "certificate, key and authority together"
        yield Problem(file, "[leadership]", f"only {', '.join(configured_keys)}", expectation)


def _member_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    from ravenshelf.leadership.decisions import TERM_STRIDE

    members = operator.leadership.members
    for name, address in members.items():
        if not _is_address(address):
            yield Problem(file, f"[leadership] members.{name}", shortened_repr(address), HOST_PORT)
    if len(members) > TERM_STRIDE or len(set(members.values())) < len(members):
        expectation = f"up to {TERM_STRIDE} members, each with an address of its own"
        yield Problem(file, "[leadership] members", shortened_repr(members), expectation)


def _distribution_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.distribution
    if not table.name:
        return
    if not table.cluster:
        expectation = "a name that all relays and controllers share"
        yield Problem(file, "[distribution] cluster", NOTHING, expectation)
    if bool(table.service) == bool(table.listen):
        configured_keys = "both service and listen" if table.service else "neither service nor listen"
        yield Problem(
            file,
            "[distribution]",
            configured_keys,
            "either service, for a server, or listen, for a relay or service owner",
        )
    if "@" in table.service or "/" in table.service:
        yield Problem(file, "[distribution] service", shortened_repr(table.service), "a name without @ and /")
    if table.listen and not _is_address(table.listen):
        yield Problem(file, "[distribution] listen", shortened_repr(table.listen), HOST_PORT)
    if table.services:
        yield from _service_owner_problems(operator, file)
    elif not table.parents:
        yield Problem(file, "[distribution] parents", "none", 'one or more of name = "host:port"')
    for name, address in table.parents.items():
        path = f"[distribution] parents.{name}"
        if not _is_address(address, allow_zero_port=False):
            yield Problem(file, path, shortened_repr(address), HOST_PORT)
        if name == table.name:
            yield Problem(file, path, "this relay itself", "names of other processes")


def _service_owner_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    table = operator.distribution
    leadership = operator.leadership
    if not table.listen:
        yield Problem(file, "[distribution] listen", NOTHING, "host:port, since services is given")
    if leadership.name != table.name:
        expectation = "the name of [leadership], since services is given"
        yield Problem(file, "[distribution] name", shortened_repr(table.name), expectation)
    other_members = sorted(set(leadership.members) - {leadership.name})
    if sorted(table.parents) != other_members:
        expectation = f"the other members: {', '.join(other_members)}"
        yield Problem(file, "[distribution] parents", shortened_repr(sorted(table.parents)), expectation)
