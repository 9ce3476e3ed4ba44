"""The log sink and the clock."""

import threading

from ravenshelf.process import logs
from ravenshelf.process.clock import Clock


def test_log_lines_are_bounded_and_a_full_pipe_blocks_nothing():
    written, go = [], threading.Event()

    def write(text):
        go.wait()
        written.append(text)

    class Line(str):
        def __new__(cls, text, second, level=20):
            self = super().__new__(cls, text)
            stamp = type("Time", (), {"timestamp": lambda _: second})()
            self.record = {"time": stamp, "level": type("Level", (), {"no": level})()}
            return self

    sink = logs.Sink(write)
    for n in range(logs.BURST_LINES + 500):
        sink(Line(f"{n}\n", 1.0))
    sink(Line("an error\n", 1.0, 40))
    sink(Line("later\n", 3.0))
    go.set()
    sink.finish(10)
    assert len(written) == logs.BURST_LINES + 2 and written[-2] == "(500 lines left out) an error\n"
    assert written[-1] == "later\n"


def test_the_clock_counts_whole_microseconds_and_never_goes_back():
    clock = Clock()
    times = [clock() for _ in range(1000)]
    assert times == sorted(times) and all(isinstance(t, int) for t in times)
