"""Admission, queues, tiers, fairness, choice of upstream, retries; pure."""
