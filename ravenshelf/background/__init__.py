"""Background jobs: work beside table updates, run in slices on the event loop; their decisions are pure."""
