"""What the server keeps in memory: slots, deadlines, buffers, counters, endpoints, tables by proxy."""
