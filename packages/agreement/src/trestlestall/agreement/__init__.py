"""Replicated log among the voters: election, replication, change of voters; pure."""
