"""Model placement in the daemon: ``leader`` in a control process, ``gate_server`` in a
router.

``leader.Leader`` feeds the placement controller and carries out its actions.
``gate_server.GateServer`` applies the fencing gate and sends requests to the engines of
its data centre. ``messages`` holds the messages between the two.
"""
