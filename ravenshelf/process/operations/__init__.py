"""Features that an operator file turns on: metrics export, collectd host loads, leases, a subscription.

Modules of a feature that is off are not imported. The features do not delay control cycles: their timers run
after those of the server, and their work is done in background jobs.
"""
