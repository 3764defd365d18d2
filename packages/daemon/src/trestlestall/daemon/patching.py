"""Patches the standard library with eventlet, before anything else is imported.

``__main__`` imports this module first, and no other module does: eventlet has to
replace sockets, locks and sleeping before the libraries that use them are loaded.
Importing eventlet prints a deprecation warning of its own class, since the project only
fixes faults by now; exactly that warning is filtered, so that others stay visible.

eventlet's DNS resolver is disabled: addresses are IP numbers, names are never looked
up, and importing the resolver takes a third of a process's start. Threads aren't
patched either: a process has one thread, and no lock of the libraries is held while
another greenlet runs. Searching all loaded modules for such locks takes 45 ms of a
start of 330 ms.

The event loop is ``event_loop.Hub``. Its timers use the clock that includes suspensions
of the host: a deadline that passes during a suspension fires in the first turn of the
event loop afterwards, instead of being delayed by the length of the suspension.
"""

import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

WARNING_START = r"\s*Eventlet is deprecated"

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", WARNING_START, Warning)
    import eventlet
    from eventlet import hubs

    from trestlestall.daemon import event_loop

    hubs.use_hub(event_loop.Hub)
    eventlet.monkey_patch(
        os=True, select=True, socket=True, subprocess=True, time=True, thread=False
    )
