"""Floors: the minimum share of a target's tokens for each class with waiting work.

A class earns credit over time: its floor times the tokens per second that this router's
even share of the slots can make. (Credit for tokens actually served at this router
would fail a class whose requests all arrive at a quiet router: it would earn nothing.)
A class with credit and waiting work is served next, whatever its tier. Work sent under
the floor is charged in full, so that a request larger than the share puts the class in
debt until the debt is earned back. So all floors together never use more than their
sum, plus one request each. Work sent in the regular order uses credit up, but creates
no debt: a class that was served well before a burst does not start the burst in debt.

A class with waiting work that was not served for ``window`` seconds is served next
once, even in debt.
"""

import dataclasses
import typing
from collections import abc

Rates: typing.TypeAlias = abc.Callable[[int], float]


@dataclasses.dataclass(slots=True)
class Account:
    """The credit of one class, in tokens, and what it has waiting."""

    tier: int
    floor: float
    credit: float = 0.0
    accrued_at: float | None = None
    sent_at: float = 0.0
    waiting: int = 0
    waiting_tokens: float = 0.0


class Floors:
    """The accounts of the classes of one target."""

    def __init__(self, max_credit: float, window: float):
        self._credit_most = max_credit
        self._window = window
        self._accounts: dict[str, Account] = {}

    def record_enqueued(self, request_class, tokens: float, now: float) -> None:
        """Count a request of the class that starts to wait."""
        account = self._find(request_class)
        if not account.waiting:
            account.sent_at = max(account.sent_at, now)
        account.waiting += 1
        account.waiting_tokens += tokens

    def record_dequeued(self, request_class, tokens: float) -> None:
        """Stop counting a request of the class that no longer waits."""
        account = self._find(request_class)
        account.waiting -= 1
        account.waiting_tokens = max(0.0, account.waiting_tokens - tokens)

    def charge(self, request_class, tokens: float, by_floor: bool, now: float) -> None:
        """Charge the class for a request that is sent."""
        account = self._find(request_class)
        account.sent_at = now
        if by_floor:
            account.credit -= tokens
        else:
            account.credit = min(account.credit, max(0.0, account.credit - tokens))

    def correct(self, request_class, tokens: float) -> None:
        """Charge the difference to the actual length of an answer under the floor."""
        self._find(request_class).credit -= tokens

    def find_due_class(self, pressure: int, rates: Rates, now: float) -> str | None:
        """Return the class to serve next under its floor, the one longest unserved.

        Only classes of tiers less urgent than ``pressure`` need their floor. ``rates``
        returns the tokens per second of a tier and the more urgent ones.
        """
        due = [
            (account.sent_at, name)
            for name, account in self._accounts.items()
            if account.waiting
            and account.tier > pressure
            and self._is_due(account, rates, now)
        ]
        return min(due)[1] if due else None

    def find_wait(self, request_class, rate: float, now: float) -> float | None:
        """Return the seconds until one more request would be sent under the floor.

        ``rate`` is the tokens per second of the class's own and more urgent tiers. The
        result is ``None`` for a class without a floor, or without a rate.
        """
        account = self._find(request_class)
        self._accrue(account, rate, now)
        if account.floor <= 0 or rate <= 0:
            return None
        owed = account.waiting_tokens + max(0.0, -account.credit)
        return owed / (account.floor * rate)

    def list_tiers(self) -> set[int]:
        """Return the tiers of all accounts."""
        return {account.tier for account in self._accounts.values()}

    def find_tier(self, name: str) -> int:
        """Return the tier of a class."""
        return self._accounts[name].tier

    def _find(self, request_class) -> Account:
        account = self._accounts.get(request_class.name)
        if account is None:
            account = Account(request_class.tier, request_class.floor)
            self._accounts[request_class.name] = account
        account.tier = request_class.tier
        account.floor = request_class.floor
        return account

    def _accrue(self, account: Account, rate: float, now: float) -> None:
        if account.accrued_at is not None:
            account.credit += account.floor * rate * (now - account.accrued_at)
        account.accrued_at = now
        account.credit = min(account.credit, self._credit_most)

    def _is_due(self, account: Account, rates: Rates, now: float) -> bool:
        if account.floor <= 0:
            return False
        self._accrue(account, rates(account.tier), now)
        return account.credit > 0 or now - account.sent_at >= self._window
