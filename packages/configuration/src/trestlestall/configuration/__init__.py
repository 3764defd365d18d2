"""Typed configuration, its commands and how they apply; pure."""
