"""The gateway process, a reverse proxy that forwards opaque requests."""
