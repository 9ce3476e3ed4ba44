"""The pool of read buffers."""

from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool


def test_buffers_have_one_size_and_are_reused():
    buffers = BufferPool()
    first_buffer = buffers.acquire()
    assert len(first_buffer) == BUFFER_BYTES and buffers.acquire() is not first_buffer
    buffers.release(first_buffer)
    assert buffers.acquire() is first_buffer
