"""Pool of reusable read buffers of one size."""

BUFFER_BYTES = 16 * 1024
# The pool keeps at most this many free buffers. A connection holds a buffer only during a read, so fewer are
# in use at a time.
POOL_LIMIT = 64


class BufferPool:
    """Pool of buffers of `BUFFER_BYTES`, of which it caches up to `POOL_LIMIT`."""

    def __init__(self) -> None:
        self.free_buffers: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer, which may still contain the bytes of its previous use."""
        return self.free_buffers.pop() if self.free_buffers else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Put a buffer from `acquire` back into the pool; a full pool drops it."""
        if len(self.free_buffers) < POOL_LIMIT:
            self.free_buffers.append(buffer)
