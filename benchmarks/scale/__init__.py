"""What each role costs as the fleet grows.

Slopes over sizes, from the real modules and from simulated fleets of them.
"""
