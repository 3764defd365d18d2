"""At-most-once claims as a replicated state machine; pure."""
