"""The fencing gate in a router, which forwards orders to engines of its data centre.

It protects engines that ignore the fencing number: the gate stores the highest number
it has seen for each engine and refuses lower ones. It also bounds how long an order may
be in flight, by its own clock alone: the leader first requests a permit, then has a
quorum confirm that it still leads, and only then sends the order with the permit. A
permit is valid once, for a short time, and only at the gate that granted it, in the
same incarnation of its process.

An order that was delayed between decision and gate (by a frozen leader or a slow link)
is therefore refused, however late it comes, even by a gate that has seen no newer
number.

Example:

    >>> gate = Gate("router-a1#77")
    >>> permit = gate.grant("e1", 7, 3, now=10.0)
    >>> gate.admit(permit, now=10.5)
    Admitted()
    >>> gate.admit(permit, now=10.6)
    Refused(reason='permit_unknown', highest=3)
"""

import dataclasses

from trestlestall.placement import settings

OLD_NUMBER = "old_number"
OLD_INCARNATION = "old_incarnation"
PERMIT_UNKNOWN = "permit_unknown"
PERMIT_EXPIRED = "permit_expired"
FORWARDING = "forwarding"


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one order to an engine under a fencing number.

    ``gate`` names the incarnation of the gate's process, which uses each ``serial``
    only once.
    """

    gate: str
    engine: str
    incarnation: int
    fence: int
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The order is to be written to the engine at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing is sent; ``highest`` is the engine's highest known fencing number."""

    reason: str
    highest: int


class Gate:
    """The gate of one router; ``identity`` differs with each start of its process."""

    def __init__(
        self,
        identity: str,
        times: settings.Sending = settings.Sending(),  # noqa: B008
    ):
        self.identity = identity
        self._times = times
        self._highest: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._permits: dict[str, tuple[Permit, float]] = {}
        self._forwarding: dict[str, float] = {}
        self._serial = 0

    def update_incarnation(self, engine: str, incarnation: int) -> None:
        """Record an announced incarnation: orders for older ones are refused."""
        known = self._incarnations.get(engine, incarnation)
        self._incarnations[engine] = max(known, incarnation)

    def grant(
        self, engine: str, incarnation: int, fence: int, now: float
    ) -> Permit | Refused:
        """Return a permit; from now on lower fencing numbers are refused.

        No permit is granted while an order is being written to the engine, so that a
        granted one proves that this gate will write no older order any more.
        """
        refused = self._check(engine, incarnation, fence)
        if refused is not None:
            return refused
        self._highest[engine] = fence
        self._permits.pop(engine, None)
        if engine in self._forwarding:
            return self._refuse(engine, FORWARDING)
        self._serial += 1
        permit = Permit(self.identity, engine, incarnation, fence, self._serial)
        self._permits[engine] = (permit, now)
        return permit

    def admit(self, permit: Permit, now: float) -> Admitted | Refused:
        """Admit an order; the caller writes it at once and then calls ``finish``."""
        refused = self._check(permit.engine, permit.incarnation, permit.fence)
        if refused is not None:
            return refused
        granted, granted_at = self._permits.get(permit.engine, (None, now))
        if granted != permit:
            return self._refuse(permit.engine, PERMIT_UNKNOWN)
        del self._permits[permit.engine]
        if now - granted_at > self._times.permit:
            return self._refuse(permit.engine, PERMIT_EXPIRED)
        self._forwarding[permit.engine] = now
        return Admitted()

    def may_write(self, engine: str, now: float) -> bool:
        """Return whether the admitted order may still be written.

        Call it once the connection is open, right before the bytes are written.
        """
        admitted_at = self._forwarding.get(engine)
        return admitted_at is not None and now - admitted_at <= self._times.forward

    def finish(self, engine: str) -> None:
        """Record that nothing more will be written of the admitted order."""
        self._forwarding.pop(engine, None)

    def _check(self, engine: str, incarnation: int, fence: int) -> Refused | None:
        if fence < self._highest.get(engine, 0):
            return self._refuse(engine, OLD_NUMBER)
        if incarnation < self._incarnations.get(engine, incarnation):
            return self._refuse(engine, OLD_INCARNATION)
        return None

    def _refuse(self, engine: str, reason: str) -> Refused:
        return Refused(reason, self._highest.get(engine, 0))
