"""Functions that all benchmarks use: quantiles, the memory of a process, the closing line."""

import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

QUANTILES = (("p50", 0.5), ("p99", 0.99), ("p999", 0.999), ("max", 1.0))
KB_PER_MB = 1024


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which about `share` of the values lie, the greatest for a share of 1.

    Without values it is 0.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Return the count of the values ("n") and their quantiles, rounded, by the names in QUANTILES."""
    return {"n": len(values)} | {name: round(quantile(values, share), 3) for name, share in QUANTILES}


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident_kb = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return resident_kb / KB_PER_MB


def close(name: str, figures: dict[str, Any], objective: str, is_met: bool) -> NoReturn:
    """Print the closing line and exit, with code 0 if the objective is met and 1 if not."""
    print(json.dumps({"benchmark": name, "figures": figures, "aim": objective, "held": is_met}))
    sys.exit(0 if is_met else 1)
