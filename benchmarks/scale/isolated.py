"""Memory of what a call builds: in a process of its own, so that nothing of another measurement is counted."""

import gc
import multiprocessing
import resource
from collections.abc import Callable
from pathlib import Path

PAGE = resource.getpagesize()
_context = multiprocessing.get_context("spawn")


def _resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def _grown(build: Callable[[int], object], size: int, answers) -> None:
    build(1)  # imports and caches are not counted
    gc.collect()
    before = _resident()
    kept = build(size)
    gc.collect()
    answers.put(_resident() - before)
    del kept


def resident_bytes(build: Callable[[int], object], size: int) -> float:
    """Bytes of resident memory that `build(size)` needs for what it returns."""
    answers = _context.Queue()
    process = _context.Process(target=_grown, args=(build, size, answers))
    process.start()
    grown = answers.get(timeout=300)
    process.join()
    return float(grown)
