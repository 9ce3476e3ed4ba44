"""Decisions about Graphite receivers: connections, routing and queues. No I/O; the clock is passed in."""
