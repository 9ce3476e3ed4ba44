"""Background jobs that run in slices on the event loop, beside table updates.

The decisions are in `decisions` and perform no I/O; `scheduler` runs the jobs.
"""
