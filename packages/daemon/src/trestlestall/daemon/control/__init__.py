"""The control process: a voter that replicates the configuration and the claims.

The modules ``machine``, ``group``, ``distribution`` and ``envelopes`` are pure and make
the decisions; ``process`` and ``server`` pass them events and execute the results.
"""
