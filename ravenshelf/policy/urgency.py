"""The urgency of a change: the higher it is, the more of the control channel's capacity the change may use.

Urgencies are small integers that index the limits of `flow_control`.
"""

# Weights have changed gradually; the change may wait for a later control cycle, which computes it again.
ORDINARY = 0
# An endpoint has been added or is readmitted, or an admission level has changed.
URGENT = 1
# An endpoint has left, is draining or has restarted.
ENDPOINT_LOSS = 2
# A proxy gets its first table.
JOINING = 3
# An endpoint must not be used any more.
WITHDRAWAL = 4
