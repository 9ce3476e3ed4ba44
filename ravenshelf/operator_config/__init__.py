"""The operator file: its tables, how it is read, what is wrong with it."""
