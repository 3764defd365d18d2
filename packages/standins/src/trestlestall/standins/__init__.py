"""Stand-in engine, plain service, weight store, and the load tool; not shipped."""
