"""Bearer credentials: reading them from a request and comparing them."""

import hmac
from collections import abc

from trestlestall.daemon.http import errors

SCHEME = "bearer"

MISSING = errors.Failure(
    "credential_missing", "Send the header 'Authorization: Bearer KEY'."
)
UNKNOWN = errors.Failure("credential_unknown", "This key opens nothing here.")


def read_bearer(headers: abc.Mapping[str, str]) -> str | None:
    """Return the bearer key of the ``Authorization`` header, or ``None``."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        return None
    return key.strip()


def matches(secret: str, given: str) -> bool:
    """Return whether the key is the secret, compared in constant time."""
    return hmac.compare_digest(secret.encode(), given.encode("utf-8", "replace"))


def check_secret(headers: abc.Mapping[str, str], secret: str) -> errors.Failure | None:
    """Return why the request does not carry the secret, or ``None`` if it does."""
    given = read_bearer(headers)
    if given is None:
        return MISSING
    return None if matches(secret, given) else UNKNOWN


def find_owner(
    headers: abc.Mapping[str, str], secrets: abc.Mapping[str, str]
) -> str | errors.Failure:
    """Return the name whose secret the request carries.

    >>> find_owner({"authorization": "Bearer s3"}, {"alice": "s3"})
    'alice'
    """
    given = read_bearer(headers)
    if given is None:
        return MISSING
    owners = [name for name, secret in secrets.items() if matches(secret, given)]
    return owners[0] if owners else UNKNOWN
