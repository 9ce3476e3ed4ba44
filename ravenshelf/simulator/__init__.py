"""The decisions on the simulator's wire: decode, one controller an instance, encode."""
