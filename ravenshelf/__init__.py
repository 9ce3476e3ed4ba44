"""ravenshelf: tells forwarders where work goes."""

__version__ = "0.3.0"
