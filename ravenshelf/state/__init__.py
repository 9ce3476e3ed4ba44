"""State in memory: endpoints, tables of the proxies, deadlines, slots, buffers and counters."""
