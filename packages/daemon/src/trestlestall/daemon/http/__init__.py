"""The HTTP listeners of a trestlestall process: limits, credentials, error format."""
