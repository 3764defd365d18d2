"""The HTTP listeners of a trestlestall process: bounds, credentials, error shape."""
