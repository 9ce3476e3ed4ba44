"""The pool of read buffers."""

from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool


def test_buffers_have_one_size_and_are_used_again():
    buffers = BufferPool()
    first = buffers.acquire()
    assert len(first) == BUFFER_BYTES and buffers.acquire() is not first
    buffers.release(first)
    assert buffers.acquire() is first
