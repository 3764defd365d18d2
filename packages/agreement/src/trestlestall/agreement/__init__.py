"""Raft consensus: leader election, log replication and membership changes.

The package follows the published description (Ongaro, "Consensus: Bridging Theory and
Practice") and is a pure state machine: ``node.Node`` handles typed events with the
current time and returns typed actions. It reads no clock and does no I/O.
"""
