"""The trestlestalld binary: router, control, gateway and directory processes."""
