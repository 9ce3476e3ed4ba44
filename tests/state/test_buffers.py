"""The pool of read buffers."""

from ravenshelf.state.buffers import BUFFER_BYTES, BufferPool


def test_buffers_have_one_size_and_are_used_again():
    buffers = BufferPool()
    first = buffers.lend()
    assert len(first) == BUFFER_BYTES and buffers.lend() is not first
    buffers.give_back(first)
    assert buffers.lend() is first
