"""Commands for servers that share a fleet by leases."""

import json
from typing import Annotated

import typer

from ravenshelf.commands.shared import AdminOption, JsonOption, ask_process

app = typer.Typer(
    help="Controllers that share a fleet: what one of them reports and does.", no_args_is_help=True
)


@app.command()
def status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Members, and the shards that this controller owns or asks for."""
    from ravenshelf import output

    status_now = ask_process(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(status_now, indent=1))
        return
    words = [word for word in ("recovering", "alone", "draining") if status_now[word]]
    print(
        f"{status_now['name']} of {status_now['cluster']}, incarnation {status_now['incarnation']}"
        f"{', ' + ', '.join(words) if words else ''}: {status_now['proxies']} proxies with a stream, "
        f"{status_now['held_orders']} orders held, loop late by {status_now['late_ms']} ms"
    )
    output.show(
        ("member", "met", "incarnation", "weight", "shards"),
        [tuple(member.values()) for member in status_now["members"]],
        title="Members",
    )
    output.show(
        ("shard", "state", "term", "record", "lease ms", "proxies"),
        [tuple(shard.values()) for shard in status_now["shards"]],
        title="Shards",
    )


@app.command()
def drain(
    admin: AdminOption, undo: Annotated[bool, typer.Option("--undo", help="Take part again.")] = False
) -> None:
    """Give all shards to the others at the pace of balancing, and take no more."""
    answer = ask_process(admin, {"ask": "undrain" if undo else "drain"})
    print("takes part again" if undo else f"{answer['shards']} shards go to the others")


@app.command()
def handover(
    admin: AdminOption,
    to: Annotated[str | None, typer.Option(help="Who is to have them first.")] = None,
    shard: Annotated[list[int] | None, typer.Option(help="Which; without it all.")] = None,
) -> None:
    """Give shards up at once, all or some."""
    given = ask_process(admin, {"ask": "handover", "to": to, "shards": shard or None})["given"]
    print(f"gave up {len(given)} shards{f': {given}' if given else ''}")
