"""The trestlestalld binary: router and control processes."""
