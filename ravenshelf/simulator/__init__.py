"""The controller on the simulator's line protocol, with one controller for each instance."""
