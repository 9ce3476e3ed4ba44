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
    error_exit,
    read_configuration,
    read_operator_file,
    request_reply,
)

app = typer.Typer(
    help="Run or inspect relays, which carry tables to servers, and the controllers that publish the tables.",
    no_args_is_help=True,
)


@app.command("relay")
def run_relay(operator: OperatorOption = None, level: LogLevelOption = "INFO") -> None:
    r"""Run a relay until SIGTERM, using \[distribution] of the operator file."""
    tables = read_operator_file(operator)
    if tables is None or not tables.distribution.listen:
        raise error_exit(
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
    r"""Run a controller until SIGTERM, using \[distribution] and \[leadership] of the operator file."""
    server_configuration = read_configuration(config)
    tables = read_operator_file(operator)
    if tables is None or not tables.distribution.services:
        raise error_exit(
            f"{operator or '--operator'}: [distribution] services: found nothing, "
            "expected the path of a services file"
        )
    from ravenshelf.distribution.services_file import ServicesFileError
    from ravenshelf.process import controller

    try:
        raise typer.Exit(controller.run(server_configuration, tables, level.upper()))
    except ServicesFileError as error:
        raise error_exit(error) from None


@app.command("status")
def distribution_status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Show the topics, subscribers and upstreams of a running relay."""
    from ravenshelf import output

    status = request_reply(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(status, indent=1))
        return
    print(
        f"{status['name']} of {status['cluster']}: {status['topics']} cached topics, "
        f"{status['wanted']} subscribed topics, "
        f"{status['subscribers']} of at most {status['subscribers_most']} subscribers, "
        f"{status['refused']} rejected connections, {status['snapshot_bytes']} bytes of snapshots sent"
    )
    output.print_table(
        ("upstream", "state", "parent", "topics", "gaps"),
        [tuple(upstream.values()) for upstream in status["upstreams"]],
        title="Upstreams",
    )


@app.command("watch")
def watch_topics(
    parent: Annotated[str, typer.Argument(help="Address of a relay, as host:port.")],
    topic: Annotated[
        list[str], typer.Argument(help="Topics to subscribe to, each as SERVICE@ or SERVICE@ZONE.")
    ],
    cluster: Annotated[str, typer.Option(help=r"Name of the cluster, as in \[distribution].")] = "",
    count: Annotated[int, typer.Option(help="Number of versions after which to end; 0 for no limit.")] = 0,
) -> None:
    """Subscribe to topics as a server does, and print each new version as a line of JSON."""
    from ravenshelf.process import relay

    raise typer.Exit(relay.watch(parent, cluster, topic, count))
