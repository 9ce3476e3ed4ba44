"""Cases of an independent review; none of them is a part of the test run."""
