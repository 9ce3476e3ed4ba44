"""Start, the round, stop: what joins the network, the memory and the decisions."""
