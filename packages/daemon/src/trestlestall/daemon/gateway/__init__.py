"""The gateway process: forwards opaque requests to upstreams."""
