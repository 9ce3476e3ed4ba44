"""Decision logic for Graphite receivers: connection policy, routing and queues.

Nothing here performs I/O; the caller passes in the time.
"""
