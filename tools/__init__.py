"""Programs for the work on this repository; none is needed at run time."""
