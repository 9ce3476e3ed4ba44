"""Units of time: all times and durations are integer microseconds."""

MICROSECONDS_PER_MILLISECOND = 1000
MILLISECOND = MICROSECONDS_PER_MILLISECOND
SECOND = 1_000_000
