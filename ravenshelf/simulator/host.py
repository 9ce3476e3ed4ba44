"""Hosts the simulated control-plane servers: one controller for each instance, with nothing shared."""

from collections.abc import Callable

from ravenshelf.errors import RavenshelfError
from ravenshelf.policy import events
from ravenshelf.policy.controller import Controller
from ravenshelf.settings import decode_settings
from ravenshelf.simulator.decode import (
    SHOWN_LINE_LENGTH,
    Boot,
    EndpointIndex,
    Exit,
    MalformedLineError,
    decode_line,
    decode_time,
)
from ravenshelf.simulator.encode import WireWriter

END_OF_BATCH = "eob"


class InstanceNotStartedError(RavenshelfError):
    """An instance has no controller, as its settings could not be used when it was booted."""

    def __init__(self, instance: int):
        super().__init__(f"instance {instance} was not started, see the fault of its boot")
        self.instance = instance


class Instance:
    """One control-plane server on the wire, with its endpoint names and the events of the present batch."""

    def __init__(self, number: int, boot: Boot):
        self.events: list[events.Event] = []
        self._number = number
        self._boot: Boot | None = boot  # until the controller is made
        self._controller: Controller | None = None
        self._names: list[str] = []
        self._indices: dict[str, int] = {}

    def endpoint_index(self, name: str) -> int:
        """The index of an endpoint's name, a new one for a new name; raises `ValueError` for an empty one."""
        index = self._indices.get(name)
        if index is not None:
            return index
        if not name:
            raise ValueError("an endpoint without a name")
        self._indices[name] = len(self._names)
        self._names.append(name)
        return self._indices[name]

    def run_cycle(self, now: int) -> list[str]:
        """Run the controller on the batch's events, and give the lines of its commands."""
        cycle_events = self.events
        self.events = []
        writer = WireWriter(self._number, self._names)
        try:
            self._present_controller().run_cycle(now, cycle_events, writer)
        except Exception as error:  # the wire has a line for the cause: no instance falls silent
            writer.replace_by_fault(f"{type(error).__name__}: {error}")
        return writer.lines

    def _present_controller(self) -> Controller:
        boot = self._boot
        self._boot = None
        if boot is not None:
            self._controller = Controller(decode_settings(boot.settings), boot.seed)
        if self._controller is None:
            raise InstanceNotStartedError(self._number)
        return self._controller


class Host:
    """All instances of one simulation, by number."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def answer_batch(self, head: str, next_line: Callable[[], str]) -> list[str]:
        """The reply to one batch, whose further lines up to the end `next_line` gives.

        Raises `MalformedLineError`; there is no partial reply.
        """
        now, frame = _decode_head(head)
        touched: dict[int, Instance] = {}  # in the order of their first lines
        while (text := next_line()) != END_OF_BATCH:
            self._take_line(text, next_line, touched)
        reply: list[str] = []
        for instance in touched.values():
            reply += instance.run_cycle(now)
        reply.append(f"next {frame}")
        return reply

    def _take_line(self, text: str, next_line: Callable[[], str], touched: dict[int, Instance]) -> None:
        number, event = decode_line(text, self._index_of, next_line)
        if isinstance(event, Boot):
            touched[number] = self._instances[number] = Instance(number, event)
            return
        instance = self._instance(number, text)
        if isinstance(event, Exit):
            del self._instances[number]
            touched.pop(number, None)
            return
        touched[number] = instance
        instance.events.append(event)

    def _instance(self, number: int, text: str) -> Instance:
        instance = self._instances.get(number)
        if instance is None:
            raise MalformedLineError(text[:SHOWN_LINE_LENGTH], f"an instance that was booted, not {number}")
        return instance

    def _index_of(self, number: int, text: str) -> EndpointIndex:
        return self._instance(number, text).endpoint_index


def _decode_head(head: str) -> tuple[int, int]:
    """The time in microseconds and the number of a batch."""
    values = head.split(" ")
    try:
        if len(values) != 3 or values[0] != "clock":
            raise ValueError("not a head")
        return decode_time(values[1]), int(values[2])
    except ValueError as error:
        raise MalformedLineError(head[:SHOWN_LINE_LENGTH], "clock t-ms frame") from error
