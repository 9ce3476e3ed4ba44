"""Host loads of collectd: its binary network protocol, and which values are believed."""
