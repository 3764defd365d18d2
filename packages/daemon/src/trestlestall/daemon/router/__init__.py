"""The router process: a thin shell round the pure decisions of other packages."""
