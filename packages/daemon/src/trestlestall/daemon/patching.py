"""Make the standard library cooperative, before anything else is imported.

``__main__`` imports this module first, and no other module does: eventlet has to
replace sockets, locks and sleeping before the libraries that use them are loaded.
Importing eventlet prints one warning of its own class, since upstream only mends its
faults by now; exactly that warning is filtered, so that it doesn't hide others.

Its own resolver is left out: addresses are IP numbers, names are never looked up, and
importing it takes a third of a process's start. So are threads: a process has one, and
no lock of the libraries is held while another greenlet runs. Looking for such locks in
all that is loaded takes 45 ms of a start of 330 ms.

Its timers go by the clock that counts a suspension of the host: a deadline that passed
meanwhile is over at the first turn afterwards, and not the same time later again.
"""

import os
import warnings

from trestlestall.wire import clocks

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

WARNING_START = r"\s*Eventlet is deprecated"

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", WARNING_START, Warning)
    import eventlet
    from eventlet import hubs

    eventlet.monkey_patch(
        os=True, select=True, socket=True, subprocess=True, time=True, thread=False
    )

hubs.get_hub().clock = clocks.read
