"""Memory of what a call builds, measured in a process of its own."""

import gc
import multiprocessing
import resource
from collections.abc import Callable
from pathlib import Path
from typing import Any

PAGE = resource.getpagesize()
TIMEOUT = 300  # seconds
_context = multiprocessing.get_context("spawn")


def _resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def _grown(build: Callable[[int], object], size: int, results: Any) -> None:
    build(1)  # so that imports and caches are not counted
    gc.collect()
    before = _resident()
    built = build(size)
    gc.collect()
    results.put(_resident() - before)
    del built


def resident_bytes(build: Callable[[int], object], size: int) -> float:
    """Return the bytes of resident memory that `build(size)` needs for what it returns."""
    results = _context.Queue()
    process = _context.Process(target=_grown, args=(build, size, results))
    process.start()
    grown = results.get(timeout=TIMEOUT)
    process.join()
    return float(grown)
