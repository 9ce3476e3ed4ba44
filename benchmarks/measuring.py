"""What all benchmarks share: quantiles, memory of a process, the closing line."""

import json
import sys
from collections.abc import Sequence
from typing import NoReturn


def quantile(values: Sequence[float], part: float) -> float:
    """The value that `part` of them are at or under; 0 where there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def quantiles(values: Sequence[float]) -> dict[str, float]:
    return {
        "n": len(values),
        **{
            name: round(quantile(values, part), 3)
            for name, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999), ("max", 1.0))
        },
    }


def memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024


def close(name: str, figures: dict, aim: str, held: bool) -> NoReturn:
    """Prints the closing line and ends with 1 where the aim is not held."""
    print(json.dumps({"benchmark": name, "figures": figures, "aim": aim, "held": held}))
    sys.exit(0 if held else 1)
