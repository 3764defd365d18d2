"""Duties that one process at a time holds: its lease, usage windows, orders; pure."""
