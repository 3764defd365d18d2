"""The registries of what handles each type of event and of message."""

from trestlestall.agreement import registry

#: Event type to ``handle(state, event)``.
EVENTS = registry.Registry()

#: Message type to ``receive(state, sender, message)``.
MESSAGES = registry.Registry()
