"""Operator file: the types of its tables, and how it is read and checked."""
