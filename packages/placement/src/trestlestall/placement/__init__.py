"""Which engine holds which model, and fenced orders; pure.

``controller.Controller`` is what the leader uses, ``orders`` the state in the agreed
log, and ``gate.Gate`` the fencing gate that a router has before its engines.
"""
