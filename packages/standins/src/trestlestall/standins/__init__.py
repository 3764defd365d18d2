"""Stand-in engine, plain service, weight store, and the load tool; not shipped.

Nothing here imports another package of the workspace: the stand-ins, the demo and the
bench speak the published HTTP only, as any upstream, caller or operator would.
"""

import os
import warnings

# eventlet announces its maintenance mode on import. The design notes say why it is
# used all the same; the warning would only hide others.
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# Addresses are IP numbers: eventlet's own resolver would only slow the start down.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
