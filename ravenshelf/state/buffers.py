"""Read buffers of one size, used again."""

SIZE = 16 * 1024
KEPT = 64  # more than are ever lent at a time: one is lent from a read's start to its end


class BufferPool:
    def __init__(self):
        self.free: list[bytearray] = []

    def lend(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(SIZE)

    def take_back(self, buffer: bytearray) -> None:
        if len(self.free) < KEPT:
            self.free.append(buffer)
