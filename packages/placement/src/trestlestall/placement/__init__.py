"""Which engine holds which model, and fenced orders; pure.

``steward.Steward`` is the door for the leader, ``orders`` what stands in the agreed
log, ``gate.Gate`` what a router holds before its engines.
"""
