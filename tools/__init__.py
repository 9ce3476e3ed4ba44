"""Tools for those who work on ravenshelf."""
