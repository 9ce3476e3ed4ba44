"""Work that is not table lines: its decisions are pure, the scheduler gives them loop time."""
