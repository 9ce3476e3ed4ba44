"""Cost of each role by size of the fleet: slopes over sizes, of the real modules and of simulated fleets."""
