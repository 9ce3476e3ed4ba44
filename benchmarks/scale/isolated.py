"""Memory of the result of a call, measured in a separate process."""

import gc
import multiprocessing
import resource
from collections.abc import Callable
from pathlib import Path
from typing import Any

PAGE_BYTES = resource.getpagesize()
TIMEOUT = 300  # in seconds
_context = multiprocessing.get_context("spawn")


def _read_resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def _measure_growth(build: Callable[[int], object], size: int, results: Any) -> None:
    build(1)  # Imports and caches are loaded here, so that they are not counted.
    gc.collect()
    bytes_before = _read_resident_bytes()
    result = build(size)
    gc.collect()
    results.put(_read_resident_bytes() - bytes_before)
    del result


def resident_bytes(build: Callable[[int], object], size: int) -> float:
    """Return the bytes by which `build(size)` and its result increase the resident memory of a process."""
    results = _context.Queue()
    process = _context.Process(target=_measure_growth, args=(build, size, results))
    process.start()
    growth = results.get(timeout=TIMEOUT)
    process.join()
    return float(growth)
