"""Checks what controllers ordered and proxies took, as recorded: the rules of several controllers on one fleet.

An event is (time, what, ...); times are true ones, which no controller knows.

    ("left", controller, shard, term, kind, content)     an order left a controller; kind is granting or keeping
    ("took", proxy, controller, term, content)           a proxy obeyed it
    ("lost", controller)  ("owner", controller, shard)  ("whole",)

Contents: ("bind",), ("try", key), ("out", endpoint, version), ("back", endpoint, version), ("level", group, level).
"""

from collections.abc import Iterable

RULES = ("one granter", "order of terms", "try twice", "drain dropped", "let in at once", "takeover late")


def check(events: Iterable[tuple], bound: float, opens: float = 2.0) -> list[tuple[str, float, str]]:
    """What was broken: (rule, when, words). `bound`: within which every shard has an owner once all is whole.
    `opens`: a level may rise by so much at a takeover."""
    broken: list[tuple[str, float, str]] = []
    granted: dict[int, tuple[int, int]] = {}  # shard: highest term of a granting order, its controller
    obeyed: dict[int, tuple[int, int]] = {}  # proxy: highest term taken, its controller
    tries: dict[str, tuple[float, int]] = {}
    out: dict[tuple[int, str], int] = {}  # (proxy, endpoint): version that drained it
    levels: dict[tuple[int, str], tuple[int, float]] = {}  # (proxy, group): term, level
    orphans: dict[int, float] = {}
    owners: dict[int, int | None] = {}
    whole_since: float | None = None
    last = 0.0
    for event in events:
        at, what, *rest = event
        last = at
        if what == "left":
            controller, shard, term, kind, content = rest
            if kind == "granting":
                had = granted.get(shard)
                if had is not None and (term < had[0] or (term == had[0] and controller != had[1])):
                    broken.append(
                        ("one granter", at, f"shard {shard}: {controller} in term {term} after {had}")
                    )
                else:
                    granted[shard] = (term, controller)
            if content[0] == "try":
                if content[1] in tries:
                    broken.append(
                        ("try twice", at, f"{content[1]} by {controller}, before by {tries[content[1]]}")
                    )
                tries[content[1]] = (at, controller)
        elif what == "took":
            proxy, controller, term, content = rest
            had = obeyed.get(proxy, (0, controller))
            if term < had[0] or (term == had[0] and controller != had[1]):
                broken.append(
                    ("order of terms", at, f"proxy {proxy}: {controller} in term {term} after {had}")
                )
            obeyed[proxy] = max(had, (term, controller))
            if content[0] == "out":
                out[proxy, content[1]] = max(content[2], out.get((proxy, content[1]), -1))
            elif content[0] == "back":
                drained = out.get((proxy, content[1]))
                if drained is not None and content[2] <= drained:
                    broken.append(
                        (
                            "drain dropped",
                            at,
                            f"proxy {proxy}: {content[1]} back by list {content[2]}, drained by {drained}",
                        )
                    )
                out.pop((proxy, content[1]), None)
            elif content[0] == "level":
                _, group, level = content
                before = levels.get((proxy, group))
                if before is not None and before[0] != term and level > before[1] * opens:
                    broken.append(
                        ("let in at once", at, f"proxy {proxy}: {group} from {before[1]:g} to {level:g}")
                    )
                levels[proxy, group] = (term, level)
        elif what == "owner":
            controller, shard = rest
            owners[shard] = controller
            orphans.pop(shard, None)
        elif what == "lost":
            for shard, controller in owners.items():
                if controller == rest[0]:
                    owners[shard] = None
                    orphans.setdefault(shard, at)
        elif what == "whole":
            whole_since = at
    if whole_since is not None:
        for shard, since in orphans.items():
            if last - max(since, whole_since) > bound:
                broken.append(("takeover late", last, f"shard {shard} without an owner since {since:.2f}"))
    return broken
