"""Upstreams and routers of a data centre: announcements, leases, leaving; pure."""
