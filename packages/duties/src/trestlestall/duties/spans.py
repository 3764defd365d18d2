"""The numbers of reporting windows: spans of the Unix time of equal length."""


def find_window(wall: float, seconds: float) -> int:
    """Return the number of the window that contains a Unix time.

    >>> find_window(1767225612.5, 5.0)
    353445122
    """
    return int(wall // seconds)


def find_end(window: int, seconds: float) -> float:
    """Return the Unix time at which a window ends."""
    return (window + 1) * seconds
