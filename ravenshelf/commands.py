"""The command line: check, figures, events, settings, controllers, store, version; serve is in process/serving.py."""

import json
from pathlib import Path
from typing import Annotated

import typer

from ravenshelf import __version__
from ravenshelf.process import configuration, serving

app = typer.Typer(
    help="ravenshelf tells forwarders where work goes.", no_args_is_help=True, add_completion=False
)
Config = Annotated[
    Path | None, typer.Option("--config", "-c", help="The configuration; else RELAY_CONFIG names it.")
]
OperatorFile = Annotated[Path | None, typer.Option("--operator", "-o", help="The operator file (TOML).")]
Form = Annotated[str, typer.Option("--form", help="table, markdown or json.")]


def refuse(why) -> typer.Exit:
    return typer.Exit(serving.report_error(why))


def read(config: Path | None) -> dict:
    try:
        return configuration.read(str(config) if config else None)
    except configuration.ConfigurationError as why:
        raise refuse(why) from None


def read_operator(file: Path | None):
    """The operator file's tables; without one nothing of it is loaded."""
    if file is None:
        return None
    from ravenshelf.operator_config import reading

    try:
        return reading.read(file)
    except reading.OperatorConfigurationError as why:
        raise refuse(why) from None


@app.command(
    add_help_option=False, context_settings={"ignore_unknown_options": True, "allow_extra_args": True}
)
def serve(context: typer.Context):
    """Run one pilot until SIGTERM; `serve --help` lists its options."""
    raise typer.Exit(serving.main(context.args))


@app.command()
def check(config: Config = None, operator: OperatorFile = None):
    """Check a configuration, and an operator file with it, and say what they hold."""
    wrong, said, tables = 0, None, None
    try:  # what is wrong with both is told at once
        said = read(config)
    except typer.Exit:
        wrong = 2
    try:
        tables = read_operator(operator)
    except typer.Exit:
        wrong = 2
    if wrong:
        raise typer.Exit(wrong)
    print(configuration.summary(said))
    if tables is not None:
        from ravenshelf.operator_config.reading import summary

        print(summary(tables))


def show(headings, rows, form: str, title: str) -> None:
    from ravenshelf import output

    if form not in output.FORMS:
        raise typer.BadParameter(f"expected one of {', '.join(output.FORMS)}", param_hint="--form")
    output.show(headings, rows, form, title)


@app.command()
def figures(form: Form = "table"):
    """Every figure that is sent to Graphite."""
    from ravenshelf.graphite.metrics import rows

    show(("path", "unit", "importance", "source", "meaning", "formed"), rows(), form, "Below PREFIX.PILOT")


@app.command()
def events(form: Form = "table"):
    """Every event of the log."""
    from ravenshelf.log_events import CATALOGUE

    rows = [
        (e.name, e.level, e.meaning, "; ".join(f"{n}: {u}" for n, u in e.fields.items()))
        for e in CATALOGUE.values()
    ]
    show(("event", "level", "meaning", "fields"), rows, form, "Events")


@app.command()
def settings(form: Form = "table"):
    """Every key of the operator file."""
    from ravenshelf.operator_config.keys import rows

    show(("table", "key", "default", "expected"), rows(), form, "The operator file")


controllers = typer.Typer(
    help="Controllers that share a fleet: what one of them says and does.", no_args_is_help=True
)
app.add_typer(controllers, name="controllers")
Admin = Annotated[
    Path, typer.Option("--admin", "-a", help="The Unix socket: admin in [leadership] or [distribution].")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON object instead of a table.")]


def asked(admin: Path, question: dict) -> dict:
    from ravenshelf.leadership.admin import ask

    try:
        told = ask(str(admin), question)
    except (OSError, ValueError) as why:
        raise refuse(f"{admin}: expected a running process, {why}") from None
    if "error" in told:
        raise refuse(told["error"])
    return told


@controllers.command()
def status(admin: Admin, as_json: AsJson = False):
    """Members, and the shards that this controller owns or asks for."""
    from ravenshelf import output

    said = asked(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(said, indent=1))
        return
    words = [word for word in ("recovering", "alone", "draining") if said[word]]
    print(
        f"{said['name']} of {said['cluster']}, incarnation {said['incarnation']}"
        f"{', ' + ', '.join(words) if words else ''}: {said['proxies']} proxies with a stream, "
        f"{said['held_orders']} orders held, loop late by {said['late_ms']} ms"
    )
    output.show(
        ("member", "met", "incarnation", "weight", "shards"),
        [tuple(m.values()) for m in said["members"]],
        title="Members",
    )
    output.show(
        ("shard", "state", "term", "record", "lease ms", "proxies"),
        [tuple(s.values()) for s in said["shards"]],
        title="Shards",
    )


@controllers.command()
def drain(admin: Admin, undo: Annotated[bool, typer.Option("--undo", help="Take part again.")] = False):
    """Give all shards to the others at the pace of balancing, and take no more."""
    told = asked(admin, {"ask": "undrain" if undo else "drain"})
    print("takes part again" if undo else f"{told['shards']} shards go to the others")


@controllers.command()
def handover(
    admin: Admin,
    to: Annotated[str | None, typer.Option(help="Who is to have them first.")] = None,
    shard: Annotated[list[int] | None, typer.Option(help="Which; without it all.")] = None,
):
    """Give shards up at once, all or some."""
    given = asked(admin, {"ask": "handover", "to": to, "shards": shard or None})["given"]
    print(f"gave up {len(given)} shards{f': {given}' if given else ''}")


distribution = typer.Typer(help="Relays that carry tables to pilots.", no_args_is_help=True)
app.add_typer(distribution, name="distribution")


@distribution.command("relay")
def run_relay(operator: OperatorFile = None, level: Annotated[str, typer.Option("--log-level")] = "INFO"):
    """Run one relay, as [distribution] of the operator file says, until SIGTERM."""
    tables = read_operator(operator)
    if tables is None or not tables.distribution.listen:
        raise refuse(
            f"{operator or '--operator'}: [distribution] listen: found nothing, expected host:port for subscribers"
        )
    from ravenshelf.process import relay

    raise typer.Exit(relay.run(tables, level.upper()))


@distribution.command("controller")
def run_controller(
    config: Config = None,
    operator: OperatorFile = None,
    level: Annotated[str, typer.Option("--log-level")] = "INFO",
):
    """Run one controller, as [distribution] and [leadership] of the operator file say, until SIGTERM."""
    said, tables = read(config), read_operator(operator)
    if tables is None or not tables.distribution.services:
        raise refuse(
            f"{operator or '--operator'}: [distribution] services: found nothing, expected the path of a file of services"
        )
    from ravenshelf.distribution.services_file import ServicesFileError
    from ravenshelf.process import controller

    try:
        raise typer.Exit(controller.run(said, tables, level.upper()))
    except ServicesFileError as why:
        raise refuse(why) from None


@distribution.command("status")
def distribution_status(admin: Admin, as_json: AsJson = False):
    """Topics, subscribers and upstreams of a running relay."""
    from ravenshelf import output

    said = asked(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(said, indent=1))
        return
    print(
        f"{said['name']} of {said['cluster']}: {said['topics']} topics, {said['wanted']} wanted, {said['subscribers']} of "
        f"{said['subscribers_most']} subscribers, {said['refused']} refused, {said['snapshot_bytes']} octets of snapshots"
    )
    output.show(
        ("upstream", "state", "parent", "topics", "gaps"),
        [tuple(one.values()) for one in said["upstreams"]],
        title="Upstreams",
    )


@distribution.command("watch")
def watch_topics(
    parent: Annotated[str, typer.Argument(help="host:port of a relay.")],
    topic: Annotated[list[str], typer.Argument(help="Topics: SERVICE@ or SERVICE@ZONE.")],
    cluster: Annotated[str, typer.Option(help="As in [distribution].")] = "",
    count: Annotated[int, typer.Option(help="End after so many versions; 0: never.")] = 0,
):
    """Subscribe to topics as a pilot does, and print each new version as a line of JSON."""
    from ravenshelf.process import relay

    raise typer.Exit(relay.watch(parent, cluster, topic, count))


store = typer.Typer(help="State on disk, of a pilot that does not run.", no_args_is_help=True)
app.add_typer(store, name="store")
Folder = Annotated[Path, typer.Argument(help="The folder that holds segments.")]


def opened(folder: Path, readonly: bool):
    from ravenshelf.store.errors import DamagedSegmentError
    from ravenshelf.store.journal import Journal

    try:
        if not any(folder.glob("*.segment")):
            raise DamagedSegmentError(folder, "expected a folder with segments")
        return Journal(folder, {}, readonly=readonly)
    except (DamagedSegmentError, OSError) as why:
        raise refuse(why) from None


@store.command()
def verify(folder: Folder, as_json: AsJson = False):
    """Read all of it; exit code 2 names what is damaged."""
    journal = opened(folder, True)
    said = {
        "identity": journal.identity,
        "entries": len(journal.entries),
        "segments": len(journal.segments.sizes),
        "octets": sum(journal.segments.sizes.values()),
        "torn_tail": journal.torn_tail_bytes,
    }
    if as_json:
        print(json.dumps(said))
    else:
        print("sound: " + ", ".join(f"{name} {value}" for name, value in said.items()))


@store.command()
def dump(folder: Folder):
    """Every entry, one JSON object a line."""
    for key, value in opened(folder, True).entries.items():
        print(
            json.dumps(
                {"key": key, "value": value}, default=lambda v: v.hex() if isinstance(v, bytes) else str(v)
            )
        )


@store.command()
def compact(folder: Folder):
    """Write one segment with all that holds in place of the others."""
    journal = opened(folder, False)
    before = sum(journal.segments.sizes.values())
    journal.compact()
    print(
        f"{before} octets before, {sum(journal.segments.sizes.values())} after, {len(journal.entries)} entries"
    )
    journal.close()


@app.command()
def version():
    """Print the version."""
    print(f"ravenshelf {__version__}")
