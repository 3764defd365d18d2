"""Duties of one lease holder at a time: lease, usage windows, orders; pure."""
