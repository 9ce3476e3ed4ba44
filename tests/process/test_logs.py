"""The log sink and the clock."""

import threading

from ravenshelf.process import logs
from ravenshelf.process.clock import Clock


def test_log_lines_are_limited_in_rate_and_a_full_pipe_blocks_nothing():
    written_lines, is_output_open = [], threading.Event()

    def write(text):
        is_output_open.wait()
        written_lines.append(text)

    class Line(str):
        def __new__(cls, text, second, level=20):
            self = super().__new__(cls, text)
            stamp = type("Time", (), {"timestamp": lambda _: second})()
            self.record = {"time": stamp, "level": type("Level", (), {"no": level})()}
            return self

    sink = logs.Sink(write)
    for number in range(logs.BURST_LINES + 500):
        sink(Line(f"{number}\n", 1.0))
    sink(Line("an error\n", 1.0, 40))
    sink(Line("later\n", 3.0))
    is_output_open.set()
    sink.finish(10)
    assert (
        len(written_lines) == logs.BURST_LINES + 2 and written_lines[-2] == "(500 lines left out) an error\n"
    )
    assert written_lines[-1] == "later\n"


def test_the_clock_counts_integer_microseconds_and_never_goes_back():
    clock = Clock()
    times = [clock() for _ in range(1000)]
    assert times == sorted(times) and all(isinstance(time, int) for time in times)
