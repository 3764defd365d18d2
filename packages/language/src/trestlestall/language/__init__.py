"""The operators' query and command language; pure."""
