"""Read buffers of one size, used again."""

BUFFER_BYTES = 16 * 1024
POOL_LIMIT = 64  # more than are ever lent at a time: one is lent from a read's start to its end


class BufferPool:
    """Lends buffers of `BUFFER_BYTES` and caches up to `POOL_LIMIT` that were given back."""

    def __init__(self) -> None:
        self.free_buffers: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer; its bytes are those of the former borrower."""
        return self.free_buffers.pop() if self.free_buffers else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Take back a lent buffer."""
        if len(self.free_buffers) < POOL_LIMIT:
            self.free_buffers.append(buffer)
