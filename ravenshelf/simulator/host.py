"""The simulated control-plane servers: one controller for each instance, with no shared state."""

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
    """An event for an instance that has no controller, because its settings were invalid at its boot."""

    def __init__(self, instance: int):
        super().__init__(f"instance {instance} was not started; the reply to its boot says why")
        self.instance = instance


class Instance:
    """One simulated control-plane server.

    The controller is created by the first `run_cycle`, so that an error in the settings is reported in its
    reply.

    Args:
        number: Number of the instance in the protocol.
        boot: Seed and settings.

    Attributes:
        events: Events of the present batch.
    """

    def __init__(self, number: int, boot: Boot):
        self.events: list[events.Event] = []
        self._number = number
        self._boot: Boot | None = boot  # None once `run_cycle` has tried to create the controller
        self._controller: Controller | None = None
        self._names: list[str] = []
        self._indices: dict[str, int] = {}

    def endpoint_index(self, name: str) -> int:
        """Return the index of an endpoint's name; a new name is assigned the next number.

        Raises:
            ValueError: The name is empty.
        """
        index = self._indices.get(name)
        if index is not None:
            return index
        if not name:
            raise ValueError("expected the name of an endpoint, found an empty one")
        self._indices[name] = len(self._names)
        self._names.append(name)
        return self._indices[name]

    def run_cycle(self, now: int) -> list[str]:
        """Run the controller on the batch's events.

        Args:
            now: Time of the batch in microseconds.

        Returns:
            The lines of its commands; a single line with the reason if the controller failed.
        """
        cycle_events = self.events
        self.events = []
        writer = WireWriter(self._number, self._names)
        try:
            self._get_controller().run_cycle(now, cycle_events, writer)
        except Exception as error:  # the protocol has a line for a failure, so each instance gets a reply
            writer.replace_with_exception(f"{type(error).__name__}: {error}")
        return writer.lines

    def _get_controller(self) -> Controller:
        boot = self._boot
        self._boot = None
        if boot is not None:
            self._controller = Controller(decode_settings(boot.settings), boot.seed)
        if self._controller is None:
            raise InstanceNotStartedError(self._number)
        return self._controller


class Host:
    """All instances of one simulation."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}  # by number

    def answer_batch(self, head: str, next_line: Callable[[], str]) -> list[str]:
        """Run the instances that a batch concerns, and return the reply.

        Args:
            head: First line of the batch.
            next_line: Function that returns the batch's next line, up to its end line.

        Returns:
            The lines of the reply, ordered by the instances' first lines in the batch.

        Raises:
            MalformedLineError: A line of the batch is malformed. There is no partial reply.
        """
        now, frame = _decode_head(head)
        batch_instances: dict[int, Instance] = {}  # by number, in the order of their first lines
        while (text := next_line()) != END_OF_BATCH:
            self._apply_line(text, next_line, batch_instances)
        reply: list[str] = []
        for instance in batch_instances.values():
            reply += instance.run_cycle(now)
        reply.append(f"next {frame}")
        return reply

    def _apply_line(
        self, text: str, next_line: Callable[[], str], batch_instances: dict[int, Instance]
    ) -> None:
        number, event = decode_line(text, self._index_of, next_line)
        if isinstance(event, Boot):
            batch_instances[number] = self._instances[number] = Instance(number, event)
            return
        instance = self._instance(number, text)
        if isinstance(event, Exit):
            del self._instances[number]
            batch_instances.pop(number, None)
            return
        batch_instances[number] = instance
        instance.events.append(event)

    def _instance(self, number: int, text: str) -> Instance:
        instance = self._instances.get(number)
        if instance is None:
            raise MalformedLineError(text[:SHOWN_LINE_LENGTH], f"an instance that was booted, not {number}")
        return instance

    def _index_of(self, number: int, text: str) -> EndpointIndex:
        return self._instance(number, text).endpoint_index


def _decode_head(head: str) -> tuple[int, int]:
    """Return the time in microseconds and the number of a batch."""
    values = head.split(" ")
    try:
        if len(values) != 3 or values[0] != "clock":
            raise ValueError("expected the head of a batch")
        return decode_time(values[1]), int(values[2])
    except ValueError as error:
        raise MalformedLineError(head[:SHOWN_LINE_LENGTH], "clock t-ms frame") from error
