"""Slots that an entry instance uses or keeps, and what it tells their owners."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.progress import Progress
from borageworks.metrics import Metrics
from borageworks.router.granted_slot import HeldGrant
from borageworks.router.standing_slots import StandingSlots
from borageworks.router.usage import Usage
from borageworks.timers import Timers
from borageworks.wire.messages import (
    Charge,
    EndpointLost,
    Grant,
    Message,
    Outcome,
    Recall,
    Release,
    Running,
)

Send = Callable[[str, Message], None]

# An attempt at an endpoint that does not answer its owner ends after this silence.
SILENT_S = 3.0


class Slots:
    """Slots of one entry instance.

    A slot in use is released when its request ends. A standing slot may be kept; its
    uses are summed and reported with `refresh`, once a second.

    Parameters
    ----------
    timers, metrics
        Services of the process.
    send
        Sends a message to an instance, also to this one.
    """

    def __init__(self, timers: Timers, metrics: Metrics, send: Send) -> None:
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._held: dict[int, HeldGrant] = {}
        self._standing = StandingSlots()
        self._usage = Usage()
        self._kept: list[tuple[str, Release]] = []
        self._draining = False

    @property
    def standing(self) -> int:
        """Number of idle standing slots."""
        return len(self._standing)

    def hold(self, owner: str, grant: Grant, *, alone: bool = False) -> HeldGrant:
        """Use a granted slot."""
        held = HeldGrant(
            grant,
            owner,
            Progress(),
            organisation=grant.organisation,
            standing=grant.standing,
            alone=alone,
        )
        self._held[grant.grant_id] = held
        return held

    def give_back(self, owner: str, grant: Grant) -> None:
        """Return a slot that was granted and not used."""
        # The owner has to settle the first request before it frees a kept slot.
        self._flush_kept()
        self._send(owner, Release(grant.grant_id, Outcome.UNUSED, 0.0))

    def take_standing(self, pool: str, organisation: str) -> HeldGrant | None:
        """Use a kept slot of the pool, None if there is none."""
        held = self._standing.take(pool)
        if held is None:
            return None
        held.organisation = organisation
        held.reused = True
        held.reported = 0.0
        self._held[held.grant.grant_id] = held
        self._metrics.count("slots_reused")
        return held

    def release(
        self,
        held: HeldGrant,
        outcome: Outcome,
        exchange: Exchange | None = None,
        *,
        fingerprint: bytes = b"",
        keep: bool = False,
    ) -> None:
        """End the use of a slot.

        Parameters
        ----------
        exchange
            The complete exchange; without it the units received so far count.
        fingerprint
            Identifies the request if the endpoint seems to have crashed.
        keep
            Whether a standing slot may be kept.
        """
        grant = held.grant
        del self._held[grant.grant_id]
        if exchange is None:
            unused = outcome is Outcome.UNUSED
            exchange = Exchange(units=0.0 if unused else held.progress.units)
        units = exchange.units
        if held.reused:
            rest = max(0.0, units - held.reported)
            self._usage.add(held.owner, grant.pool, held.organisation, rest, 1)
            units = 0.0
        keep = keep and held.standing and not self._draining
        if keep:
            self._standing.add(self._timers.now(), held)
            if held.reused:
                return
        release = Release(
            grant.grant_id,
            outcome,
            units,
            exchange.first_token_s,
            exchange.token_interval_s,
            fingerprint if outcome is Outcome.CRASHED else b"",
            keep,
        )
        if keep:
            # The slot stays in use, so the owner can wait for the next batch.
            self._kept.append((held.owner, release))
        else:
            self._send(held.owner, release)

    def recall(self, owner: str, recall: Recall) -> None:
        """Return idle standing slots, and busy ones once their requests end."""
        for held in self._standing.recall(owner, recall.pool, recall.endpoint):
            self.give_back(held.owner, held.grant)
        for held in self._held.values():
            wanted = recall.endpoint in ("", held.grant.endpoint)
            if wanted and held.owner == owner and held.grant.pool == recall.pool:
                held.standing = False

    def set_owners(self, owners: Mapping[str, str]) -> None:
        """Return kept slots of former owners; tell new ones of the slots in use."""
        for held in self._standing.all():
            if owners.get(held.grant.endpoint) != held.owner:
                self._standing.recall(held.owner, held.grant.pool, held.grant.endpoint)
                self.give_back(held.owner, held.grant)
        for held in self._held.values():
            owner = owners.get(held.grant.endpoint)
            if owner is not None and owner != held.owner:
                self._report_progress(held)
                held.owner = owner
                self._tell_running(held)

    def link_up(self, owner: str) -> None:
        """Tell an owner of the slots in use, after a link to it came up."""
        for held in self._held.values():
            if held.owner == owner:
                self._tell_running(held)

    def link_lost(self, owner: str) -> None:
        """Forget kept slots of an owner, which has freed them too."""
        self._standing.drop_owner(owner)
        self._kept = [kept for kept in self._kept if kept[0] != owner]

    def drain(self) -> None:
        """Return all kept slots and keep none from now on."""
        self._draining = True
        for held in self._standing.all():
            self._standing.recall(held.owner, held.grant.pool, held.grant.endpoint)
            self.give_back(held.owner, held.grant)

    def end_lost(self, message: EndpointLost) -> None:
        """End attempts whose endpoint is gone without closing its connections.

        Where the endpoint only does not answer its owner, attempts that still receive
        bytes go on.
        """
        silent_since = time.monotonic() - SILENT_S
        for held in self._held.values():
            if held.grant.endpoint != message.endpoint or held.scope is None:
                continue
            if message.restarted or held.progress.last_received_at < silent_since:
                self._metrics.count("attempts_ended", "endpoint_lost")
                held.scope.reschedule(self._timers.now())

    def refresh(self, now: float) -> None:
        """Report units received and uses of kept slots; return slots idle too long."""
        for held in self._held.values():
            self._report_progress(held)
        self._flush_kept()
        for owner, used in self._usage.take():
            self._send(owner, used)
        for held in self._standing.expire(now):
            self.give_back(held.owner, held.grant)

    def _flush_kept(self) -> None:
        kept, self._kept = self._kept, []
        for owner, release in kept:
            self._send(owner, release)

    def _report_progress(self, held: HeldGrant) -> None:
        grown = held.progress.units - held.reported
        if grown <= 0:
            return
        held.reported = held.progress.units
        grant = held.grant
        if held.reused:
            self._usage.add(held.owner, grant.pool, held.organisation, grown, 0)
        else:
            self._send(held.owner, Charge(grant.grant_id, held.progress.units))

    def _tell_running(self, held: HeldGrant) -> None:
        """Have an owner record a slot in use as an ordinary one."""
        held.standing = False
        held.reused = False
        grant = held.grant
        self._send(
            held.owner,
            Running(
                grant.grant_id,
                grant.endpoint,
                grant.pool,
                held.organisation,
                held.progress.units,
            ),
        )
