"""The thin shell of placement: ``leader`` in a control process, ``keeper`` in a router.

``leader.Leader`` feeds the steward and carries its actions out; ``keeper.Keeper`` holds
the gate and speaks to the engines of its data centre. ``messages`` go between them.
"""
