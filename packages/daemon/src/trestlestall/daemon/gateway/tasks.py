"""The requests that a gateway has at upstreams, as it reports them to the scheduler."""

import dataclasses
import typing

from trestlestall.forwarding import descriptors


@dataclasses.dataclass
class Task:
    """A request in flight; ``descriptor`` is encoded, ``placed_at`` in seconds."""

    descriptor: list[typing.Any]
    upstream: str
    placed_at: float
    began: bool = False


class Tasks:
    """The requests in flight, by id."""

    def __init__(self) -> None:
        self._tasks: dict[str, Task] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def add(
        self, descriptor: descriptors.Descriptor, upstream: str, now: float
    ) -> None:
        """Record that a request is sent to an upstream."""
        plain = descriptors.encode(descriptor)
        self._tasks[descriptor.request_id] = Task(plain, upstream, now)

    def mark_started(self, request_id: str) -> Task | None:
        """Record a request's first event; return it, or None if not in flight."""
        task = self._tasks.get(request_id)
        if task is not None:
            task.began = True
        return task

    def drop(self, request_id: str) -> Task | None:
        """Record that a request has left its upstream; return it if it was there."""
        return self._tasks.pop(request_id, None)

    def encode(self, now: float) -> tuple[list[typing.Any], ...]:
        """Return the rows of ``directory_messages.PlaceState``."""
        return tuple(
            [task.descriptor, task.upstream, task.began, now - task.placed_at]
            for task in self._tasks.values()
        )
