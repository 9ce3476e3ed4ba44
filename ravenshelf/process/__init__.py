"""The server process: start, control cycles and stop, connecting network, state and controller."""
