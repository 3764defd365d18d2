"""Replicated log among the voters: election, replication, change of voters; pure.

This is Raft by its published description (Ongaro, "Consensus: Bridging Theory and
Practice"), written as a pure state machine: ``node.Node`` takes typed events with the
current time and returns typed actions. It reads no clock and opens nothing.
"""
