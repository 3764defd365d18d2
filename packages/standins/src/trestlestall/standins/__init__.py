"""Stand-in engine, plain service and weight store, and the load tool; not shipped.

Nothing here imports another package of the workspace: the stand-ins, the demo and the
benchmarks use the published HTTP interfaces only, as an upstream, caller or operator
would.
"""

import os
import warnings

# eventlet warns on import that it is in maintenance mode. The design notes explain why
# it is used nevertheless; the warning would only hide others.
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# Addresses are IP numbers, so eventlet's own resolver would only slow down the start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
