"""The operators' command and query language.

The package is pure: apart from loading its grammar it performs no I/O.
"""
