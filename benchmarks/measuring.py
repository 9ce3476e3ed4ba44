"""What all benchmarks share: quantiles, the memory of a process, the closing line."""

import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

QUANTILES = (("p50", 0.5), ("p99", 0.99), ("p999", 0.999), ("max", 1.0))
KB_PER_MB = 1024


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of the values are at or below; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Return the count of the values ("n") and their QUANTILES."""
    return {"n": len(values)} | {name: round(quantile(values, share), 3) for name, share in QUANTILES}


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident_kb = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return resident_kb / KB_PER_MB


def close(name: str, figures: dict[str, Any], aim: str, held: bool) -> NoReturn:
    """Print the closing line and exit, with code 1 where the aim was not held."""
    print(json.dumps({"benchmark": name, "figures": figures, "aim": aim, "held": held}))
    sys.exit(0 if held else 1)
