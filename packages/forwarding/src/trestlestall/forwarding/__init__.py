"""Opaque forwarded requests: configuration, upstreams, placement and retries; pure."""
