"""At-most-once claims on idempotency keys, as a replicated state machine.

The package is pure: it performs no I/O and reads no clock.
"""
