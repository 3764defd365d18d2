"""A table of handlers by method and path, filled by decorators.

    ROUTES = routes.Routes()

    @ROUTES.register("POST", "/v1/upstreams/announce")
    def announce(components, request):
        ...

A path that ends in ``/`` matches every path below it. The handler's first argument is
the ``components`` object of the listener's application; its second is the
``requests.Request``.
"""

import typing
from collections import abc

from trestlestall.daemon.http import answers, errors, requests

Handler = abc.Callable[[typing.Any, requests.Request], answers.Answer]

ANY = "ANY"


class Routes:
    """The handlers of one listener."""

    def __init__(self):
        self._exact: dict[str, dict[str, Handler]] = {}
        self._prefixes: dict[str, dict[str, Handler]] = {}

    def register(self, method: str, path: str) -> abc.Callable[[Handler], Handler]:
        """Return the decorator that adds a handler for the method and path."""
        table = self._prefixes if path.endswith("/") else self._exact

        def add(handler: Handler) -> Handler:
            table.setdefault(path, {})[method] = handler
            return handler

        return add

    def find(self, method: str, path: str) -> Handler | errors.Failure:
        """Return the handler for a request line, or the failure to answer."""
        methods = self._exact.get(path)
        if methods is None:
            methods = self._find_prefix(path)
        if methods is None:
            return errors.Failure("unknown_path", f"Nothing is served at {path!r}.")
        handler = methods.get(method) or methods.get(ANY)
        if handler is None:
            allowed = ", ".join(sorted(methods))
            message = f"{path!r} takes {allowed}, not {method}."
            return errors.Failure("method_not_allowed", message)
        return handler

    def _find_prefix(self, path: str) -> dict[str, Handler] | None:
        matching = [prefix for prefix in self._prefixes if path.startswith(prefix)]
        return self._prefixes[max(matching, key=len)] if matching else None
