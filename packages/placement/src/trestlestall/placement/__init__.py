"""Which engine holds which model, and fenced orders; pure."""
