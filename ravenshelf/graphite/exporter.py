"""Exports points to one receiver: keeps a connection as its policy decides and sends what is queued."""

import asyncio
from collections.abc import Callable, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.graphite import formats
from ravenshelf.graphite.connection import ReceiverConnection
from ravenshelf.graphite.decisions.connection import (
    SECOND,
    ConnectionAction,
    ReceiverConnectionPolicy,
    ReceiverState,
)
from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.graphite.dialing import Resolve, dial, resolve_name
from ravenshelf.graphite.metrics import IMPORTANCES
from ravenshelf.graphite.spool import Spool
from ravenshelf.graphite.spool_transfer import SpoolTransfer
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool

MIN_SEND_DELAY = 1000  # microseconds until the queue is looked at again
CONFIRM_INTERVAL = SECOND
JOB_DEADLINES = {Priority.PRESENT: 5 * SECOND, Priority.BACKFILL: 60 * SECOND}


class Exporter:
    """The exporter of one receiver ("host:port"); `wake_at(time)` has `run_due` called at that time."""

    def __init__(
        self,
        receiver: str,
        protocol: str,
        policy: ReceiverConnectionPolicy,
        queue: PointQueue,
        spool: Spool | None,
        *,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        wake_at: Callable[[int], None],
        background: BackgroundScheduler,
        resolve: Resolve = resolve_name,
    ) -> None:
        self.receiver = receiver
        self.protocol = protocol
        self.policy = policy
        self.queue = queue
        self.spooling = SpoolTransfer(receiver, spool, queue, clock, self._on_dropped, self._on_spool_read)
        self.loop = loop
        self.clock = clock
        self.wake_at = wake_at
        self.background = background
        self.resolve = resolve
        self.buffers = BufferPool()
        self.connection: ReceiverConnection | None = None
        self.dialing: asyncio.Task[None] | None = None
        self.current_time = 0  # seconds: the time of the newest measurement
        self.has_send_job = False  # queued or running
        self.is_closed = False

    # --- connection ---

    def run_due(self) -> None:
        """Do what is due, and ask to be called again."""
        if self.is_closed:
            return
        now = self.clock()
        match self.policy.next_action(now):
            case ConnectionAction.CONNECT:
                self._connect()
            case ConnectionAction.REPORT_STALL:
                unwritten_for = self.policy.unwritten_for(now)
                log_events.RECEIVER_STALLED(receiver=self.receiver, seconds=unwritten_for / SECOND)
            case ConnectionAction.DISCONNECT:
                self._disconnect()
        self.spooling.finished(self.queue.confirm(self.clock()))
        self.send()
        self._schedule()

    def _schedule(self) -> None:
        now = self.clock()
        times = [self.policy.next_action_at()]
        if self.policy.state is ReceiverState.CONNECTED:
            if not self.has_send_job and self._can_write():
                next_take_at = self.queue.next_take_at(now)
                times.append(None if next_take_at is None else max(next_take_at, now + MIN_SEND_DELAY))
            if self.queue.unconfirmed:
                times.append(now + CONFIRM_INTERVAL)
        due_times = [time for time in times if time is not None]
        if due_times:
            self.wake_at(max(min(due_times), now))

    def _connect(self) -> None:
        connection = ReceiverConnection(self.buffers, self._on_open, self._on_all_taken, self._on_close)
        attempt = len(self.policy.connects)
        self.connection = connection
        self.dialing = self.loop.create_task(
            dial(connection, self.receiver, attempt, self.resolve, self.loop)
        )

    def _disconnect(self) -> None:
        if self.dialing is not None and self.policy.state is ReceiverState.CONNECTING:
            self.dialing.cancel()
        if self.connection is not None:
            self.connection.close(ConnectionEnd.SILENT)
        else:
            self.policy.failed(self.clock())

    def _on_open(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection:
            connection.close(ConnectionEnd.SUPERSEDED)
            return
        self.policy.connected(self.clock())
        log_events.RECEIVER_CONNECTED(receiver=self.receiver, waiting=self.queue.point_count)
        self.run_due()

    def _on_close(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        now = self.clock()
        self.queue.connection_lost()
        self.policy.failed(now)
        if connection.end is None or connection.end is ConnectionEnd.STOPPING:
            return
        backoff_s = (self.policy.state_until - now) / SECOND
        log_events.RECEIVER_DISCONNECTED(receiver=self.receiver, end=connection.end.value, rest=backoff_s)
        self._schedule()

    # --- points ---

    def add(self, batches: list[Batch]) -> None:
        """Queue a measurement's batches, or those of another receiver that failed over."""
        for batch in batches:
            self.current_time = max(self.current_time, batch.time)
            self._on_dropped(self.queue.add(batch))
        if self.policy.state is not ReceiverState.CONNECTED:
            self.spooling.write_old(self.current_time)
        self.send()
        self._schedule()

    def remove_all(self, include_attempted: bool = False) -> list[Batch]:
        """Remove and return the batches that another receiver gets; for the spool they are finished."""
        batches = self.queue.remove_all(include_attempted)
        self.spooling.finished(batches)
        return batches

    def _on_dropped(self, batches: list[Batch]) -> None:
        for batch in batches:
            log_events.POINTS_DROPPED(
                points=len(batch), receiver=self.receiver, importance=IMPORTANCES[batch.importance]
            )
        self.spooling.finished(batches)

    def _on_spool_read(self) -> None:
        self.send()
        self._schedule()

    def _can_write(self) -> bool:
        return self.connection is not None and self.connection.is_idle()

    def send(self) -> None:
        """Have the next batch written by a background job, one at a time, while the receiver takes them."""
        if self.has_send_job or self.connection is None:
            return
        if self.policy.state is not ReceiverState.CONNECTED or not self.connection.is_idle():
            return
        if self.queue.next_take_at(self.clock()) is None:
            self.spooling.read_oldest()
        if not any(self.queue.queued):
            return
        has_current = self.queue.has_current(self.current_time)
        priority = Priority.PRESENT if has_current else Priority.BACKFILL
        self.has_send_job = True
        self.background.offer(
            f"graphite.send.{priority.value}",
            priority,
            JOB_DEADLINES[priority],
            self._write_batch(self.connection),
            dropped=self._on_job_dropped,
        )

    def _on_job_dropped(self) -> None:
        self.has_send_job = False
        self._schedule()

    def _write_batch(self, connection: ReceiverConnection) -> Iterator[None]:
        """Encode and write a batch, one chunk in each step; a chunk ends with a complete line or frame."""
        batch = None
        if connection is self.connection:
            batch = self.queue.take(self.clock(), self.current_time)
        if batch is not None:
            self.policy.batch_written(self.clock())
            yield from self._write_chunks(connection, batch)
        self.has_send_job = False
        is_open = connection is self.connection and connection.end is None
        if is_open and batch is not None and connection.is_idle():
            self._on_all_taken(connection)
        else:
            self._schedule()  # a stall of what the system did not take has to be noticed in time

    def _write_chunks(self, connection: ReceiverConnection, batch: Batch) -> Iterator[None]:
        written = []
        for chunk in batch.encoded or formats.encode(self.protocol, batch.time, batch.points):
            if connection is not self.connection:
                return
            connection.write(chunk)
            written.append(chunk)
            yield
        batch.encoded[:] = written  # another receiver of the same batch need not encode it again

    def _on_all_taken(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection or self.has_send_job:
            return
        now = self.clock()
        self.policy.all_taken(now)
        self.queue.all_taken(now)
        self.send()
        self._schedule()

    def close(self) -> None:
        """Close the connection; queued points are lost with the process, except those in the spool."""
        self.is_closed = True
        if self.dialing is not None:
            self.dialing.cancel()
        if self.connection is not None:
            self.connection.close(ConnectionEnd.STOPPING)
