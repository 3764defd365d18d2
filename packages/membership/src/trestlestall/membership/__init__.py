"""Membership of a data centre's upstreams: announcements, leases, gossip; no I/O."""
