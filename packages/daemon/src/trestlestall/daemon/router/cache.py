"""Cache of the newest configuration in the data folder, for a start while cut off.

The cache is advisory: it is never synced to disk, and the configuration of control or
of a peer takes precedence over it. It is also the lowest version that a restarted
router accepts: a configuration that was in force here is never undone.
"""

import os
import pathlib

import msgspec

FILE_NAME = "configuration.json"


def load(folder: str | None) -> dict | None:
    """Return the cached document, or ``None`` if there is none that can be read."""
    if folder is None:
        return None
    try:
        data = (pathlib.Path(folder) / FILE_NAME).read_bytes()
        return msgspec.json.decode(data, type=dict)
    except (OSError, msgspec.DecodeError):
        return None


def save(folder: str, document: dict) -> bool:
    """Store the document atomically; false if it can't be written."""
    path = pathlib.Path(folder) / FILE_NAME
    temporary = path.with_suffix(".new")
    try:
        temporary.write_bytes(msgspec.json.encode(document))
        os.replace(temporary, path)
    except OSError:
        return False
    return True
