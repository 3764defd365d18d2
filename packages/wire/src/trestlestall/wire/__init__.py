"""Typed peer messages in CBOR over websocket links."""
