"""What an operator file turns on beside table updates: metrics, host loads of collectd, leases, a
subscription.

Nothing is imported that the file leaves off, and nothing delays a control cycle: timers of the parts run
after those of the server, and their work runs in background jobs.
"""
