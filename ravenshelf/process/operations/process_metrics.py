"""Measurements of the process, the control cycles and the background jobs."""

from __future__ import annotations

import os
import resource
from typing import TYPE_CHECKING

from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.process.operations.feature import Measurements

if TYPE_CHECKING:
    from ravenshelf.process.control_plane import ControlPlaneServer

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1e6
MICROSECONDS_PER_SECOND = 1e6


def resident_memory_mb() -> float:
    """Return the resident memory of this process in megabytes (10**6 bytes)."""
    with open("/proc/self/statm", "rb") as file:
        resident_pages = int(file.read().split()[1])
    return resident_pages * PAGE_BYTES / BYTES_PER_MB


def open_descriptors() -> int:
    """Return the number of file descriptors that this process has open."""
    return len(os.listdir("/proc/self/fd"))


def process_measurements(server: ControlPlaneServer, background: BackgroundScheduler) -> Measurements:
    """Return the process's memory, file descriptors and CPU time, and the counters of cycles and jobs."""
    from ravenshelf.graphite import metrics

    usage = resource.getrusage(resource.RUSAGE_SELF)
    counters = server.counters
    levels: dict[metrics.Metric, float] = {
        metrics.PROCESS_MEMORY: resident_memory_mb(),
        metrics.PROCESS_DESCRIPTORS: open_descriptors(),
        metrics.BACKGROUND_QUEUED: len(background.queue),
        metrics.BACKGROUND_DROPPED: counters["background_dropped"],
        metrics.CONTROL_CYCLES_FAILED: counters["controller_failures"],
    }
    totals: dict[metrics.Metric, float] = {
        metrics.CONTROL_CYCLES: counters["control_cycles"],
        metrics.MESSAGES_SENT: counters["messages_sent"],
        metrics.LINES_SENT: counters["lines_sent"],
        metrics.PROCESS_CPU: usage.ru_utime + usage.ru_stime,
        metrics.BACKGROUND_UTILIZATION: counters["background_us"] / MICROSECONDS_PER_SECOND,
    }
    return Measurements(levels, totals)
