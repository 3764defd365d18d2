"""The effect of each command on a configuration.

A registry maps each command class to a function of configuration and command. It
returns the changed configuration, its version not yet incremented, or ``Rejected`` if
the command conflicts with what is declared.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import checks, commands, model, outcomes

Effect: typing.TypeAlias = abc.Callable[
    [model.Configuration, typing.Any], model.Configuration | outcomes.Rejected
]
REGISTRY: dict[type, Effect] = {}
# Tolerates a rounding error in the sum of floors, which may be exactly at its limit.
ROUNDING_TOLERANCE = 1e-9


def effect(command_class: type) -> abc.Callable[[Effect], Effect]:
    """Return a decorator that registers the function for a command class."""

    def register(function: Effect) -> Effect:
        REGISTRY[command_class] = function
        return function

    return register


def change_configuration(
    configuration: model.Configuration, command: commands.Command
) -> model.Configuration | outcomes.Rejected:
    """Return the next version of the configuration, or why the command is rejected.

    The command's own values must have passed ``checks.find_problem``.
    """
    changed = REGISTRY[type(command)](configuration, command)
    if isinstance(changed, outcomes.Rejected):
        return changed
    return dataclasses.replace(changed, version=configuration.version + 1)


def _reject_unknown(kind: str, name: str, field: str) -> outcomes.Rejected:
    message = f"{kind} {name!r} is not declared"
    return outcomes.Rejected(f"unknown_{kind}", message, field)


def _find_binding(
    configuration: model.Configuration, matches: abc.Callable[[model.Binding], bool]
) -> model.Binding | None:
    bindings = configuration.bindings.to_dict().values()
    found = [binding for binding in bindings if matches(binding)]
    return min(found, key=lambda one: (one.workspace, one.target), default=None)


def _reject_in_use(kind: str, name: str, binding: model.Binding) -> outcomes.Rejected:
    place = f"{binding.workspace!r} to {binding.target!r}"
    message = f"{kind} {name!r} is in use by the binding of workspace {place}"
    return outcomes.Rejected(f"{kind}_in_use", message, "name")


@effect(commands.DeclareClass)
def declare_class(
    configuration: model.Configuration, command: commands.DeclareClass
) -> model.Configuration | outcomes.Rejected:
    """Add or replace a class, unless the sum of all floors would exceed its limit."""
    classes = configuration.classes.set(
        command.request_class.name, command.request_class
    )
    floors = sum(one.floor for one in classes.values())
    if floors > checks.FLOOR_SUM_LIMIT + ROUNDING_TOLERANCE:
        message = (
            f"the floors of all classes would add up to {floors:.1%}, "
            f"at most {checks.FLOOR_SUM_LIMIT:.0%} is allowed"
        )
        return outcomes.Rejected("floors_too_high", message, "floor")
    return dataclasses.replace(configuration, classes=classes)


@effect(commands.RemoveClass)
def remove_class(
    configuration: model.Configuration, command: commands.RemoveClass
) -> model.Configuration | outcomes.Rejected:
    """Remove a class that no binding names."""
    name = command.name
    if name not in configuration.classes:
        return _reject_unknown("class", name, "name")
    binding = _find_binding(
        configuration,
        lambda one: name == one.request_class or name in one.alternatives,
    )
    if binding is not None:
        return _reject_in_use("class", name, binding)
    return dataclasses.replace(
        configuration, classes=configuration.classes.remove(name)
    )


@effect(commands.DeclareWorkspace)
def declare_workspace(
    configuration: model.Configuration, command: commands.DeclareWorkspace
) -> model.Configuration | outcomes.Rejected:
    """Add or replace a workspace, unless another workspace has the same key."""
    workspace = command.workspace
    owner = configuration.workspaces.find_digest(workspace.key_digest)
    if owner is not None and owner.name != workspace.name:
        message = "the key is in use by another workspace"
        return outcomes.Rejected("key_in_use", message, "key_digest")
    workspaces = configuration.workspaces.set(workspace)
    return dataclasses.replace(configuration, workspaces=workspaces)


@effect(commands.RemoveWorkspace)
def remove_workspace(
    configuration: model.Configuration, command: commands.RemoveWorkspace
) -> model.Configuration | outcomes.Rejected:
    """Remove a workspace that has no bindings."""
    name = command.name
    if name not in configuration.workspaces:
        return _reject_unknown("workspace", name, "name")
    binding = _find_binding(configuration, lambda one: one.workspace == name)
    if binding is not None:
        return _reject_in_use("workspace", name, binding)
    workspaces = configuration.workspaces.remove(name)
    return dataclasses.replace(configuration, workspaces=workspaces)


@effect(commands.Bind)
def bind(
    configuration: model.Configuration, command: commands.Bind
) -> model.Configuration | outcomes.Rejected:
    """Add or replace a binding of a declared workspace, target and classes."""
    binding = command.binding
    if binding.workspace not in configuration.workspaces:
        return _reject_unknown("workspace", binding.workspace, "workspace")
    service = binding.target.removeprefix(model.SERVICE_PREFIX)
    if service != binding.target and service not in configuration.services:
        return _reject_unknown("service", service, "target")
    if binding.request_class not in configuration.classes:
        return _reject_unknown("class", binding.request_class, "request_class")
    for name in binding.alternatives:
        if name not in configuration.classes:
            return _reject_unknown("class", name, "alternatives")
    bindings = configuration.bindings.set((binding.workspace, binding.target), binding)
    return dataclasses.replace(configuration, bindings=bindings)


@effect(commands.Unbind)
def unbind(
    configuration: model.Configuration, command: commands.Unbind
) -> model.Configuration | outcomes.Rejected:
    """Remove a binding."""
    key = (command.workspace, command.target)
    if key not in configuration.bindings:
        message = f"{command.target!r} is not bound to {command.workspace!r}"
        return outcomes.Rejected("unknown_binding", message, "target")
    bindings = configuration.bindings.remove(key)
    return dataclasses.replace(configuration, bindings=bindings)


@effect(commands.DeclareService)
def declare_service(
    configuration: model.Configuration, command: commands.DeclareService
) -> model.Configuration | outcomes.Rejected:
    """Add a service; declaring it again is accepted."""
    service = command.service
    services = configuration.services.set(service.name, service)
    return dataclasses.replace(configuration, services=services)


@effect(commands.RemoveService)
def remove_service(
    configuration: model.Configuration, command: commands.RemoveService
) -> model.Configuration | outcomes.Rejected:
    """Remove a service that no binding names."""
    name = command.name
    if name not in configuration.services:
        return _reject_unknown("service", name, "name")
    target = model.SERVICE_PREFIX + name
    binding = _find_binding(configuration, lambda one: one.target == target)
    if binding is not None:
        return _reject_in_use("service", name, binding)
    services = configuration.services.remove(name)
    return dataclasses.replace(configuration, services=services)


@effect(commands.SetCopies)
def set_copies(
    configuration: model.Configuration, command: commands.SetCopies
) -> model.Configuration | outcomes.Rejected:
    """Set the desired copies of a model; zero is stored too: no copy is desired."""
    desired = command.copies
    copies = configuration.copies.set(desired.model, desired)
    return dataclasses.replace(configuration, copies=copies)


@effect(commands.Drain)
def drain(
    configuration: model.Configuration, command: commands.Drain
) -> model.Configuration | outcomes.Rejected:
    """Mark an upstream as drained, whether or not it is announced at present."""
    drained = configuration.drained | {command.upstream}
    return dataclasses.replace(configuration, drained=drained)


@effect(commands.Admit)
def admit(
    configuration: model.Configuration, command: commands.Admit
) -> model.Configuration | outcomes.Rejected:
    """End the drain of an upstream; rejected unless the upstream is drained."""
    name = command.upstream
    if name not in configuration.drained:
        message = f"upstream {name!r} is not drained"
        return outcomes.Rejected("not_drained", message, "upstream")
    drained = configuration.drained - {name}
    return dataclasses.replace(configuration, drained=drained)
