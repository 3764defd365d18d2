"""Registries of the handlers of each event type and each message type."""

from trestlestall.agreement import registry

#: Maps event types to ``handle(state, event)``.
EVENTS = registry.Registry()

#: Maps message types to ``receive(state, sender, message)``.
MESSAGES = registry.Registry()
