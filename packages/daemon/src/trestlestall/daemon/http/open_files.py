"""How many connections of clients may be open within the process's descriptors."""

import resource

#: Clients get at most one of so many descriptors; the process needs others for its own
#: connections and files.
DIVISOR = 2


def limit_connections(wanted: int) -> int:
    """Return how many of the wanted connections the process may keep open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return wanted
    return max(1, min(wanted, allowed // DIVISOR))
