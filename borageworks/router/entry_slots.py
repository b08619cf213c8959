"""Slots that an entry instance uses or retains, and reports to their owners."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from borageworks.endpoints.exchange import Exchange
from borageworks.endpoints.progress import Progress
from borageworks.metrics import Metrics
from borageworks.router.granted_slot import GrantedSlot
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

# An attempt on an endpoint that does not respond to its owner ends after this time
# without a byte received.
SILENCE_TIMEOUT_S = 3.0


class EntrySlots:
    """Slots of one entry instance.

    A slot in use is released when its request ends. A standing slot may be retained;
    its usage is summed and reported at each `refresh`, once a second.

    Parameters
    ----------
    timers, metrics
        Timers and metrics of the process.
    send
        Sends a message to any instance, including this one.
    """

    def __init__(self, timers: Timers, metrics: Metrics, send: Send) -> None:
        self._timers = timers
        self._metrics = metrics
        self._send = send
        self._in_use: dict[int, GrantedSlot] = {}
        self._standing = StandingSlots()
        self._usage = Usage()
        self._unsent_releases: list[tuple[str, Release]] = []
        self._draining = False

    @property
    def standing(self) -> int:
        """Number of idle standing slots."""
        return len(self._standing)

    def accept(
        self, owner: str, grant: Grant, *, isolated: bool = False
    ) -> GrantedSlot:
        """Record a granted slot as in use."""
        slot = GrantedSlot(
            grant,
            owner,
            Progress(),
            organisation=grant.organisation,
            standing=grant.standing,
            isolated=isolated,
        )
        self._in_use[grant.grant_id] = slot
        return slot

    def return_unused(self, owner: str, grant: Grant) -> None:
        """Return a slot that is not in use."""
        # The owner must settle the first request before it frees a retained slot.
        self._send_releases()
        self._send(owner, Release(grant.grant_id, Outcome.UNUSED, 0.0))

    def take_standing(self, pool: str, organisation: str) -> GrantedSlot | None:
        """Use a retained slot of the pool; return None if there is none."""
        slot = self._standing.take(pool)
        if slot is None:
            return None
        slot.organisation = organisation
        slot.reused = True
        slot.reported_units = 0.0
        self._in_use[slot.grant.grant_id] = slot
        self._metrics.count("slots_reused")
        return slot

    def release(
        self,
        slot: GrantedSlot,
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
            Result of a completed exchange; without it the units received so far are
            reported.
        fingerprint
            Fingerprint of the request, sent if the endpoint may have crashed.
        keep
            Whether a standing slot may be retained.
        """
        grant = slot.grant
        del self._in_use[grant.grant_id]
        if exchange is None:
            unused = outcome is Outcome.UNUSED
            exchange = Exchange(units=0.0 if unused else slot.progress.units)
        units = exchange.units
        if slot.reused:
            unreported = max(0.0, units - slot.reported_units)
            self._usage.add(slot.owner, grant.pool, slot.organisation, unreported, 1)
            units = 0.0
        keep = keep and slot.standing and not self._draining
        if keep:
            self._standing.add(self._timers.now(), slot)
            if slot.reused:
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
            # The slot remains occupied at the owner, so the release can be batched.
            self._unsent_releases.append((slot.owner, release))
        else:
            self._send(slot.owner, release)

    def recall(self, owner: str, recall: Recall) -> None:
        """Return idle standing slots now, and those in use once their requests end."""
        for slot in self._standing.recall(owner, recall.pool, recall.endpoint):
            self.return_unused(slot.owner, slot.grant)
        for slot in self._in_use.values():
            recalled = recall.endpoint in ("", slot.grant.endpoint)
            if recalled and slot.owner == owner and slot.grant.pool == recall.pool:
                slot.standing = False

    def set_owners(self, owners: Mapping[str, str]) -> None:
        """Return idle slots to former owners; report slots in use to new owners."""
        for slot in self._standing.idle_slots():
            if owners.get(slot.grant.endpoint) != slot.owner:
                self._standing.recall(slot.owner, slot.grant.pool, slot.grant.endpoint)
                self.return_unused(slot.owner, slot.grant)
        for slot in self._in_use.values():
            owner = owners.get(slot.grant.endpoint)
            if owner is not None and owner != slot.owner:
                self._report_progress(slot)
                slot.owner = owner
                self._report_running(slot)

    def link_up(self, owner: str) -> None:
        """Report the slots in use to an owner after the link to it came up."""
        for slot in self._in_use.values():
            if slot.owner == owner:
                self._report_running(slot)

    def link_lost(self, owner: str) -> None:
        """Remove retained slots of an owner, which has freed them too."""
        self._standing.remove_owner(owner)
        self._unsent_releases = [
            unsent for unsent in self._unsent_releases if unsent[0] != owner
        ]

    def drain(self) -> None:
        """Return all idle standing slots and retain no more."""
        self._draining = True
        for slot in self._standing.idle_slots():
            self._standing.recall(slot.owner, slot.grant.pool, slot.grant.endpoint)
            self.return_unused(slot.owner, slot.grant)

    def end_attempts(self, message: EndpointLost) -> None:
        """End attempts on an endpoint lost without its connections being closed.

        If the endpoint has not restarted and only fails to respond to its owner,
        attempts that still receive bytes continue.
        """
        silent_since = time.monotonic() - SILENCE_TIMEOUT_S
        for slot in self._in_use.values():
            if slot.grant.endpoint != message.endpoint or slot.timeout is None:
                continue
            if message.restarted or slot.progress.last_received_at < silent_since:
                self._metrics.count("attempts_ended", "endpoint_lost")
                slot.timeout.reschedule(self._timers.now())

    def refresh(self, now: float) -> None:
        """Report units received and retained slots' usage; return expired slots."""
        for slot in self._in_use.values():
            self._report_progress(slot)
        self._send_releases()
        for owner, used in self._usage.take():
            self._send(owner, used)
        for slot in self._standing.expire(now):
            self.return_unused(slot.owner, slot.grant)

    def _send_releases(self) -> None:
        releases, self._unsent_releases = self._unsent_releases, []
        for owner, release in releases:
            self._send(owner, release)

    def _report_progress(self, slot: GrantedSlot) -> None:
        unreported = slot.progress.units - slot.reported_units
        if unreported <= 0:
            return
        slot.reported_units = slot.progress.units
        grant = slot.grant
        if slot.reused:
            self._usage.add(slot.owner, grant.pool, slot.organisation, unreported, 0)
        else:
            self._send(slot.owner, Charge(grant.grant_id, slot.progress.units))

    def _report_running(self, slot: GrantedSlot) -> None:
        """Report a slot in use to an owner, which records it as not standing."""
        slot.standing = False
        slot.reused = False
        grant = slot.grant
        self._send(
            slot.owner,
            Running(
                grant.grant_id,
                grant.endpoint,
                grant.pool,
                slot.organisation,
                slot.progress.units,
            ),
        )
