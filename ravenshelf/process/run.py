"""The process: its log, its loop, its exit code."""
import gc
from typing import Callable

import uvloop
from loguru import logger

from ravenshelf.process import logs
from ravenshelf.process.clock import Clock
from ravenshelf.process.pilot import serve


def run(configuration: dict, again: Callable[[], dict], level: str, counters_every: float) -> int:
    sink = logs.start(level)
    gc.freeze()     # what start has made stays; collections need not look at it again
    try:
        uvloop.run(serve(configuration, again, Clock(), round(counters_every * 1e6)))
        code = 0
    except Exception:
        logger.exception("the pilot can't go on")
        code = 1
    sink.finish(0.3)
    return code
