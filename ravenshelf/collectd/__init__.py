"""Host loads from collectd: decoding of its binary network protocol and validation of its values."""
