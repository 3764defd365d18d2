"""The directory process: stores the configuration and registers upstreams."""
