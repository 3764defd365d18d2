"""The trestlestall binary: the operator's client."""
