"""The directory process: keeps the declared configuration and hears of upstreams."""
