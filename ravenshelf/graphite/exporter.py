"""Export of points to one receiver: its connection, and sending of the queued batches."""

import asyncio
from collections.abc import Callable, Iterator

from ravenshelf import log_events
from ravenshelf.background.decisions import Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.graphite import formats
from ravenshelf.graphite.connection import ReceiverConnection
from ravenshelf.graphite.decisions.connection import ConnectionAction, ReceiverConnectionPolicy, ReceiverState
from ravenshelf.graphite.decisions.queue import Batch, PointQueue
from ravenshelf.graphite.dialing import Resolve, dial, resolve_name
from ravenshelf.graphite.metrics import IMPORTANCES
from ravenshelf.graphite.spool import Spool
from ravenshelf.graphite.spool_transfer import SpoolTransfer
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.state.buffers import BufferPool
from ravenshelf.time_units import SECOND

# Shortest delay, in microseconds, before `run_due` checks a queue again whose next batch was not sent.
MIN_SEND_DELAY = 1000
CONFIRM_INTERVAL = SECOND  # Interval at which flushed batches are checked for confirmation.
# Deadlines of the jobs that write batches, in microseconds after they are queued.
JOB_DEADLINES = {Priority.PRESENT: 5 * SECOND, Priority.BACKFILL: 60 * SECOND}


class Exporter:
    """Exporter that sends queued batches of points to one receiver ("host:port").

    It calls `wake_at(time)` to have its `run_due` called at that time. Without a spool, old points are queued
    only in memory. Times are microseconds.
    """

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
        self.spool_transfer = SpoolTransfer(
            receiver, spool, queue, clock, self._on_dropped, self._on_spool_read
        )
        self.loop = loop
        self.clock = clock
        self.wake_at = wake_at
        self.background = background
        self.resolve = resolve
        self.buffers = BufferPool()
        self.connection: ReceiverConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.current_time = 0  # Time of the newest measurement, in seconds.
        self.has_send_job = False  # Whether a job that writes a batch is queued or running.
        self.is_closed = False

    def run_due(self) -> None:
        """Do what is due now and schedule the next call.

        This carries out the connection policy's next action, confirms batches and starts sending.
        """
        if self.is_closed:
            return
        now = self.clock()
        match self.policy.next_action(now):
            case ConnectionAction.CONNECT:
                self._connect()
            case ConnectionAction.REPORT_STALL:
                stalled_duration = self.policy.unflushed_duration(now)
                log_events.RECEIVER_STALLED(receiver=self.receiver, seconds=stalled_duration / SECOND)
            case ConnectionAction.DISCONNECT:
                self._disconnect()
        self.spool_transfer.finish_batches(self.queue.confirm(self.clock()))
        self.start_send_job()
        self._schedule()

    def _schedule(self) -> None:
        now = self.clock()
        times = [self.policy.next_action_at()]
        if self.policy.state is ReceiverState.CONNECTED:
            if not self.has_send_job and self._can_write():
                next_pop_at = self.queue.next_pop_at(now)
                times.append(None if next_pop_at is None else max(next_pop_at, now + MIN_SEND_DELAY))
            if self.queue.unconfirmed_batches:
                times.append(now + CONFIRM_INTERVAL)
        due_times = [time for time in times if time is not None]
        if due_times:
            self.wake_at(max(min(due_times), now))

    def _connect(self) -> None:
        connection = ReceiverConnection(self.buffers, self._on_open, self._on_flushed, self._on_close)
        attempt = len(self.policy.connect_times)
        self.connection = connection
        self.dial_task = self.loop.create_task(
            dial(connection, self.receiver, attempt, self.resolve, self.loop)
        )

    def _disconnect(self) -> None:
        if self.dial_task is not None and self.policy.state is ReceiverState.CONNECTING:
            self.dial_task.cancel()
        if self.connection is not None:
            self.connection.close(ConnectionEnd.SILENT)
        else:
            self.policy.mark_failed(self.clock())

    def _on_open(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection:
            connection.close(ConnectionEnd.SUPERSEDED)
            return
        self.policy.mark_connected(self.clock())
        log_events.RECEIVER_CONNECTED(receiver=self.receiver, waiting=self.queue.point_count)
        self.run_due()

    def _on_close(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        now = self.clock()
        self.queue.requeue_unconfirmed()
        self.policy.mark_failed(now)
        if connection.end is None or connection.end is ConnectionEnd.STOPPING:
            return
        backoff_s = (self.policy.state_until - now) / SECOND
        log_events.RECEIVER_DISCONNECTED(receiver=self.receiver, end=connection.end.value, rest=backoff_s)
        self._schedule()

    def add(self, batches: list[Batch]) -> None:
        """Queue the batches of a measurement, or of another receiver whose share has failed over."""
        for batch in batches:
            self.current_time = max(self.current_time, batch.time)
            self._on_dropped(self.queue.add(batch))
        if self.policy.state is not ReceiverState.CONNECTED:
            self.spool_transfer.write_old(self.current_time)
        self.start_send_job()
        self._schedule()

    def remove_all(self, include_attempted: bool = False) -> list[Batch]:
        """Remove and return batches that go to another receiver.

        These are the batches that were never sent to this one or, with `include_attempted`, all of them. The
        spool deletes its copies of them.
        """
        batches = self.queue.remove_all(include_attempted)
        self.spool_transfer.finish_batches(batches)
        return batches

    def _on_dropped(self, batches: list[Batch]) -> None:
        for batch in batches:
            log_events.POINTS_DROPPED(
                points=len(batch), receiver=self.receiver, importance=IMPORTANCES[batch.importance]
            )
        self.spool_transfer.finish_batches(batches)

    def _on_spool_read(self) -> None:
        self.start_send_job()
        self._schedule()

    def _can_write(self) -> bool:
        return self.connection is not None and self.connection.is_idle()

    def start_send_job(self) -> None:
        """Start a background job that writes the next batch, unless one exists.

        Nothing is started while the connection is not open or has unflushed bytes. If no batch is
        queued, a read of the spool's oldest segment is started.
        """
        if self.has_send_job or self.connection is None:
            return
        if self.policy.state is not ReceiverState.CONNECTED or not self.connection.is_idle():
            return
        if self.queue.next_pop_at(self.clock()) is None:
            self.spool_transfer.read_oldest()
        if not any(self.queue.queued_batches):
            return
        has_current = self.queue.has_current(self.current_time)
        priority = Priority.PRESENT if has_current else Priority.BACKFILL
        self.has_send_job = True
        self.background.offer(
            f"graphite.send.{priority.value}",
            priority,
            JOB_DEADLINES[priority],
            self._write_batch(self.connection),
            on_dropped=self._on_job_dropped,
        )

    def _on_job_dropped(self) -> None:
        self.has_send_job = False
        self._schedule()

    def _write_batch(self, connection: ReceiverConnection) -> Iterator[None]:
        """Encode and write the next batch, one chunk per step.

        Each chunk ends with a complete line or frame.
        """
        batch = None
        if connection is self.connection:
            batch = self.queue.pop_next(self.clock(), self.current_time)
        if batch is not None:
            self.policy.mark_batch_written(self.clock())
            yield from self._write_chunks(connection, batch)
        self.has_send_job = False
        is_open = connection is self.connection and connection.end is None
        if is_open and batch is not None and connection.is_idle():
            self._on_flushed(connection)
        else:
            # The unflushed bytes may stall: `run_due` has to be called in time to detect it.
            self._schedule()

    def _write_chunks(self, connection: ReceiverConnection, batch: Batch) -> Iterator[None]:
        written_chunks = []
        for chunk in batch.encoded_chunks or formats.encode(self.protocol, batch.time, batch.points):
            if connection is not self.connection:
                return
            connection.write(chunk)
            written_chunks.append(chunk)
            yield
        # Receivers of the same batch share this list, so the others need not encode the batch again.
        batch.encoded_chunks[:] = written_chunks

    def _on_flushed(self, connection: ReceiverConnection) -> None:
        if connection is not self.connection or self.has_send_job:
            return
        now = self.clock()
        self.policy.mark_flushed(now)
        self.queue.mark_flushed(now)
        self.start_send_job()
        self._schedule()

    def close(self) -> None:
        """Close the connection; queued points that are not in the spool are lost."""
        self.is_closed = True
        if self.dial_task is not None:
            self.dial_task.cancel()
        if self.connection is not None:
            self.connection.close(ConnectionEnd.STOPPING)
