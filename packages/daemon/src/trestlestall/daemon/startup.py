"""Ignores reload signals until the process handles them.

``__main__`` imports this module before all others. By default the signal ends the
process, and loading the libraries takes longer than what a supervisor waits between a
start and a reload. Nothing is lost: the settings are read after that.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
