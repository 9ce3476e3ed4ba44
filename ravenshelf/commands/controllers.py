"""Commands for controllers that share a fleet by leases."""

import json
from typing import Annotated

import typer

from ravenshelf.commands.shared import AdminOption, JsonOption, request_reply

app = typer.Typer(
    help="Show the state of a running controller that shares a fleet with others, or hand over its shards.",
    no_args_is_help=True,
)


@app.command()
def status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Show the members of the cluster, and the shards that this controller owns or requests."""
    from ravenshelf import output

    member_status = request_reply(admin, {"ask": "status"})["status"]
    if as_json:
        print(json.dumps(member_status, indent=1))
        return
    conditions = [key for key in ("recovering", "alone", "draining") if member_status[key]]
    print(
        f"{member_status['name']} of {member_status['cluster']}, incarnation {member_status['incarnation']}"
        f"{', ' + ', '.join(conditions) if conditions else ''}: "
        f"{member_status['proxies']} connected proxies, {member_status['held_orders']} waiting commands, "
        f"event loop delay {member_status['late_ms']} ms"
    )
    output.print_table(
        ("member", "met", "incarnation", "weight", "shards"),
        [tuple(member.values()) for member in member_status["members"]],
        title="Members",
    )
    output.print_table(
        ("shard", "state", "term", "record", "lease ms", "proxies"),
        [tuple(shard.values()) for shard in member_status["shards"]],
        title="Shards",
    )


@app.command()
def drain(
    admin: AdminOption,
    undo: Annotated[
        bool, typer.Option("--undo", help="End a drain: the controller acquires shards again.")
    ] = False,
) -> None:
    """Hand over all shards to the other members at the rate of rebalancing, and acquire no more."""
    reply = request_reply(admin, {"ask": "undrain" if undo else "drain"})
    print(
        "the controller acquires shards again"
        if undo
        else f"{reply['shards']} shards will be handed over to the other members"
    )


@app.command()
def handover(
    admin: AdminOption,
    to: Annotated[
        str | None, typer.Option(help="Name of the member that may acquire the shards first.")
    ] = None,
    shard: Annotated[
        list[int] | None, typer.Option(help="Number of a shard to hand over; default: all shards.")
    ] = None,
) -> None:
    """Hand over all or some shards at once."""
    released_shards = request_reply(admin, {"ask": "handover", "to": to, "shards": shard or None})["given"]
    print(f"handed over {len(released_shards)} shards{f': {released_shards}' if released_shards else ''}")
