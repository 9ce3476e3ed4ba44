"""ravenshelf: tells forwarders where work goes."""
