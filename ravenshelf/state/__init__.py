"""What the pilot keeps in memory: slots, deadlines, buffers, the list, what each proxy was sent, counters."""
