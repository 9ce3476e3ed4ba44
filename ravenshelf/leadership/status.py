"""The state of a member for operators, as JSON.

The keys are those that `ravenshelf controllers status --json` prints.
"""

from collections.abc import Container, Mapping
from typing import Any

from ravenshelf.leadership.cluster import ClusterMembership, LeaseListener
from ravenshelf.leadership.decisions import LeaseState, Member


def member_status(
    now: int,
    member: Member,
    membership: ClusterMembership,
    lease_listener: LeaseListener,
    connected_members: Container[int],
    incarnations: Mapping[int, int],
    loop_delay_us: float,
) -> dict[str, Any]:
    """Return a member's state, its connections to other members, and its shards.

    Args:
        now: The present time, microseconds of the member's clock.
        member: The member.
        membership: The member's name and number, and the names of all members.
        lease_listener: Provides the member's held shards and connected proxies.
        connected_members: The other members that the member has a connection to.
        incarnations: The latest incarnation of each other member that has connected.
        loop_delay_us: The smoothed delay of the member's event loop, microseconds.
    """
    return {
        "name": membership.name,
        "incarnation": membership.incarnation,
        "cluster": membership.cluster,
        "recovering": member.is_recovering,
        "alone": member.is_quorum_lost(now),
        "draining": member.is_draining,
        "late_ms": round(loop_delay_us / 1000, 1),
        "proxies": len(lease_listener.connected_proxies),
        "held_orders": sum(len(shard.gate) for shard in lease_listener.owned_shards.values()),
        "members": _members(now, member, membership, connected_members, incarnations),
        "unowned": _unheld_shards(now, member, membership),
        "shards": _claimed_shards(now, member, lease_listener),
    }


def _members(
    now: int,
    member: Member,
    membership: ClusterMembership,
    connected_members: Container[int],
    incarnations: Mapping[int, int],
) -> list[dict[str, Any]]:
    weights = member.weights(now)
    holders = [member.holder(now, shard) for shard in range(membership.agreed_settings.shards)]
    return [
        {
            "name": name,
            "met": number == membership.local_member or number in connected_members,
            "incarnation": membership.incarnation
            if number == membership.local_member
            else incarnations.get(number, 0),
            "weight": round(weights.get(number, 0.0), 2),
            "shards": holders.count(number),
        }
        for number, name in enumerate(membership.names)
    ]


def _unheld_shards(now: int, member: Member, membership: ClusterMembership) -> list[dict[str, Any]]:
    return [
        {
            "shard": shard,
            "promised": vote.promised_term,
            "granted": membership.names[vote.holder] if vote.holder is not None else "",
            "lease_ms": max(0, (vote.granted_until - now) // 1000),
            "state": member.claims[shard].state.value,
            "heir": member.balancer.successors.get(shard, (None, 0)),
        }
        for shard, vote in enumerate(member.votes)
        if member.holder(now, shard) is None
    ]


def _claimed_shards(now: int, member: Member, lease_listener: LeaseListener) -> list[dict[str, Any]]:
    return [
        {
            "shard": shard,
            "state": claim.state.value,
            "term": claim.term,
            "record": claim.seq,
            "lease_ms": max(0, (claim.valid_until - now) // 1000) if claim.state is LeaseState.HELD else 0,
            "proxies": lease_listener.proxy_count([shard]),
        }
        for shard, claim in enumerate(member.claims)
        if claim.state is not LeaseState.IDLE
    ]
