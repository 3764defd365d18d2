"""A registry of objects by key, filled by decorators."""

import typing
from collections import abc

from trestlestall.agreement import exceptions


class Registry:
    """Maps keys to registered objects.

    For example ``@HANDLERS.register(events.Tick)`` above a function makes
    ``HANDLERS.find(events.Tick)`` return that function.
    """

    def __init__(self) -> None:
        self._registered: dict[abc.Hashable, typing.Any] = {}

    def register(self, key: abc.Hashable) -> abc.Callable[[typing.Any], typing.Any]:
        """Return a decorator that registers its object under the key."""

        def decorate(registered: typing.Any) -> typing.Any:
            if key in self._registered:
                raise exceptions.MisuseError(f"{key} is registered twice")
            self._registered[key] = registered
            return registered

        return decorate

    def find(self, key: abc.Hashable) -> typing.Any:
        """Return the object registered under the key, or None."""
        return self._registered.get(key)

    def list_items(self) -> list[tuple[abc.Hashable, typing.Any]]:
        """Return all (key, object) pairs in the order of registration."""
        return list(self._registered.items())
