"""What each role costs as the fleet grows: slopes over sizes, from the real modules and from hollow fleets of them."""
