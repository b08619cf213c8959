"""What organisations are owed of a shard, by max-min fairness over a short time."""

from __future__ import annotations

import math
from dataclasses import dataclass

from borageworks.fair.max_min import max_min_level
from borageworks.placement.decisions import RefusalReason
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.share_tally import ShareReport, ShareTally

# The even share changes with the load of whole seconds.
UPDATE_INTERVAL_S = 0.05
# Organisations that request far more than the even share are below their share if they
# got less than this part of what the best served one got. The operators' limit is one
# half; the margin is for requests that start later than they are placed.
MIN_FLOOD_RATIO = 0.55
# Amounts below this are left out of the division.
MIN_TRACKED_AMOUNT = 1e-3


@dataclass(slots=True)
class _Account:
    """Requested and placed amounts, weighted by their age.

    Those that are recent fade with a shorter time constant.
    """

    requested: float = 0.0
    placed: float = 0.0
    recently_requested: float = 0.0
    recently_placed: float = 0.0
    updated_at: float = -math.inf

    def advance(self, now: float, settings: PlacementSettings) -> None:
        decay = math.exp((self.updated_at - now) / settings.share_window_s)
        self.requested *= decay
        self.placed *= decay
        decay = math.exp((self.updated_at - now) / settings.fair_window_s)
        self.recently_requested *= decay
        self.recently_placed *= decay
        self.updated_at = now

    def add_requested(self, amount: float) -> None:
        self.requested += amount
        self.recently_requested += amount

    def add_placed(self, amount: float) -> None:
        self.placed += amount
        self.recently_placed += amount

    def take_back(
        self, amount: float, age_s: float, settings: PlacementSettings
    ) -> None:
        """Remove what is left of an amount that was placed `age_s` seconds ago."""
        left = amount * math.exp(-age_s / settings.share_window_s)
        self.placed = max(self.placed - left, 0.0)
        left = amount * math.exp(-age_s / settings.fair_window_s)
        self.recently_placed = max(self.recently_placed - left, 0.0)


class Entitlements:
    """Knows which organisations have got less than they are owed.

    An organisation that requests no more than the even share, the max-min level of all
    requests over all that was placed, is owed all of it. One that requests more is
    compared with the best served one: it is owed a part of what that one got lately, or
    of what it requested itself, whichever is less. What it got while others wanted less
    does not count against it. Amounts fade exponentially; they are tokens of requests,
    or plain requests.

    Parameters
    ----------
    settings
        Settings of placement, with the time constants of the amounts.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._accounts: dict[str, _Account] = {}
        self._even_share = math.inf
        self._best_served = 0.0
        self._updated_at = -math.inf
        self._tally = ShareTally()

    def record_requested(self, now: float, organisation: str, amount: float) -> None:
        """Add an amount that an organisation requests."""
        self._account(now, organisation).add_requested(amount)
        self._tally.record_requested(organisation, amount)

    def record_placed(self, now: float, organisation: str, amount: float) -> None:
        """Add an amount that was placed on an endpoint."""
        self._account(now, organisation).add_placed(amount)
        self._tally.record_placed(organisation, amount)

    def record_running(self, now: float, organisation: str, amount: float) -> None:
        """Add an amount that another instance placed and that is still running."""
        account = self._account(now, organisation)
        account.add_requested(amount)
        account.add_placed(amount)

    def record_returned(self, organisation: str, amount: float) -> None:
        """Add an amount that is submitted again, for the report."""
        self._tally.record_returned(organisation, amount)

    def record_withdrawn(self, organisation: str, amount: float) -> None:
        """Add an amount that no longer waits, for the report."""
        self._tally.record_withdrawn(organisation, amount)

    def record_waiting(self, organisation: str, change: float) -> None:
        """Add a change of the amount that waits, for the report."""
        self._tally.record_waiting(organisation, change)

    def take_back(
        self, now: float, organisation: str, amount: float, placed_at: float
    ) -> None:
        """Take back an amount that was placed and ended before it began."""
        account = self._account(now, organisation)
        account.take_back(amount, now - placed_at, self._settings)
        self._tally.record_not_begun(organisation, amount)

    def record_refused(
        self, now: float, organisation: str, amount: float, reason: RefusalReason
    ) -> None:
        """Add an amount that was refused, for the report."""
        # A request that crashes endpoints is refused whatever the share.
        below_share = reason is not RefusalReason.SUSPECTED and self.is_below_share(
            now, organisation
        )
        self._tally.record_refused(
            organisation, amount, reason, below_share=below_share
        )

    def is_below_share(
        self, now: float, organisation: str, waiting: float = 0.0
    ) -> bool:
        """Return whether an organisation has got less than it is owed.

        Parameters
        ----------
        now
            Time in seconds.
        organisation
            The organisation.
        waiting
            Amount that waits for an endpoint and counts as if it were placed.
        """
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)
        return self._is_below(organisation, waiting)

    def is_owed_all(self, organisation: str) -> bool:
        """Return whether an organisation is owed all that it requests."""
        account = self._accounts.get(organisation)
        return account is None or account.requested <= self._even_share

    def has_reached_share(self, now: float, organisation: str) -> bool:
        """Return whether an organisation has got what it is owed, as last divided.

        The amounts are divided only when a request is about to be refused. Where that
        has not happened within the window, there is enough for everybody. Callers
        without an organisation have nothing in common, so they reach no share.
        """
        if not organisation:
            return False
        divided_lately = now - self._updated_at < self._settings.share_window_s
        return divided_lately and not self._is_below(organisation, 0.0)

    def _is_below(self, organisation: str, waiting: float) -> bool:
        if self.is_owed_all(organisation):
            return True
        account = self._accounts[organisation]
        got = account.recently_placed + waiting
        # The threshold falls gradually, as the even share is an estimate.
        ratio = max(self._even_share / account.requested, MIN_FLOOD_RATIO)
        owed = ratio * min(account.recently_requested, self._best_served)
        # A new owner has no share to compare with until it has placed something.
        return got <= 0.0 or got < owed

    def report(self) -> ShareReport:
        """Return what organisations got and were owed since the last report."""
        return self._tally.report()

    def _update(self, now: float) -> None:
        self._updated_at = now
        for account in self._accounts.values():
            account.advance(now, self._settings)
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.requested >= MIN_TRACKED_AMOUNT
        }
        self._best_served = max(
            (account.recently_placed for account in self._accounts.values()),
            default=0.0,
        )
        accounts = self._accounts.values()
        even_share = max_min_level(
            (account.requested for account in accounts),
            sum(account.placed for account in accounts),
        )
        recent_share = max_min_level(
            (account.recently_requested for account in accounts),
            sum(account.recently_placed for account in accounts),
        )
        # Both in amounts over the longer time. What engines did before some of them
        # were lost must not be promised any more.
        ratio = self._settings.share_window_s / self._settings.fair_window_s
        self._even_share = min(even_share, recent_share * ratio)

    def _account(self, now: float, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account()
        account.advance(now, self._settings)
        return account
