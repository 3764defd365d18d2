"""The routing policy: admission, queues, fairness, choice of upstream and retries.

The package is pure: it performs no I/O and reads no clock.
"""
