"""Commands for relays and service owners."""

import json
from typing import Annotated

import typer

from ravenshelf.commands.shared import (
    AdminOption,
    ConfigOption,
    JsonOption,
    LogLevelOption,
    OperatorOption,
    ask_process,
    read_configuration,
    read_operator,
    reject,
)

app = typer.Typer(help="Relays that carry tables to pilots.", no_args_is_help=True)


@app.command("relay")
def run_relay(operator: OperatorOption = None, level: LogLevelOption = "INFO") -> None:
    """Run one relay, as [distribution] of the operator file says, until SIGTERM."""
    tables = read_operator(operator)
    if tables is None or not tables.distribution.listen:
        raise reject(
            f"{operator or '--operator'}: [distribution] listen: found nothing, expected "
            "host:port for subscribers"
        )
    from ravenshelf.process import relay

    raise typer.Exit(relay.run(tables, level.upper()))


@app.command("controller")
def run_controller(
    config: ConfigOption = None,
    operator: OperatorOption = None,
    level: LogLevelOption = "INFO",
) -> None:
    """Run one controller, as [distribution] and [leadership] of the operator file say, until SIGTERM."""
    checked = read_configuration(config)
    tables = read_operator(operator)
    if tables is None or not tables.distribution.services:
        raise reject(
            f"{operator or '--operator'}: [distribution] services: found nothing, "
            "expected the path of a file of services"
        )
    from ravenshelf.distribution.services_file import ServicesFileError
    from ravenshelf.process import controller

    try:
        raise typer.Exit(controller.run(checked, tables, level.upper()))
    except ServicesFileError as error:
        raise reject(error) from None


@app.command("status")
def distribution_status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Topics, subscribers and upstreams of a running relay."""
    from ravenshelf import output

    status = ask_process(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(status, indent=1))
        return
    print(
        f"{status['name']} of {status['cluster']}: {status['topics']} topics, {status['wanted']} wanted, "
        f"{status['subscribers']} of {status['subscribers_most']} subscribers, "
        f"{status['refused']} refused, {status['snapshot_bytes']} bytes of snapshots"
    )
    output.show(
        ("upstream", "state", "parent", "topics", "gaps"),
        [tuple(upstream.values()) for upstream in status["upstreams"]],
        title="Upstreams",
    )


@app.command("watch")
def watch_topics(
    parent: Annotated[str, typer.Argument(help="host:port of a relay.")],
    topic: Annotated[list[str], typer.Argument(help="Topics: SERVICE@ or SERVICE@ZONE.")],
    cluster: Annotated[str, typer.Option(help="As in [distribution].")] = "",
    count: Annotated[int, typer.Option(help="End after so many versions; 0: never.")] = 0,
) -> None:
    """Subscribe to topics as a server does, and print each new version as a line of JSON."""
    from ravenshelf.process import relay

    raise typer.Exit(relay.watch(parent, cluster, topic, count))
