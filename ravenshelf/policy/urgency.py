"""How urgent a change is: the more urgent, the more of the control channel's capacity it may use.

Urgencies are small integers, used as an index into the limits of `flow_control`.
"""

ORDINARY = 0  # drifting weights; a later control cycle may decide them anew
URGENT = 1  # an endpoint has come, a level has changed
ENDPOINT_LOSS = 2  # an endpoint has left, drains or has restarted
JOINING = 3  # the first table of a proxy
WITHDRAWAL = 4  # an endpoint must not be used any more
