"""The other instances: who owns what, and messages to them."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
from collections.abc import Callable

from borageworks.events import Event, emit
from borageworks.exceptions import BorageworksError
from borageworks.gateway.instances import Instances
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.settings import GatewaySettings
from borageworks.gateway.store import FollowedStore
from borageworks.metrics import Metrics
from borageworks.routing.rendezvous import ranked, rendezvous
from borageworks.store.values import Transaction
from borageworks.timers import Timers
from borageworks.wire.link_settings import LinkSettings
from borageworks.wire.links import PeerLinks
from borageworks.wire.messages import Message

LINK_KEY = "link-key"
KEY_BYTES = 32
# A suspected instance is left out for a little longer than it takes to restart.
SUSPICION_S = 1.0
# Through a longer cut an instance is tried again this often.
SUSPICION_LIMIT_S = 8.0
# A single late reaction does not move what an instance owns: whoever takes over knows
# less of the endpoints' load.
SILENCE_S = 0.25
# Instances with less than this part of the strongest one's processor own nothing while
# there are stronger ones: placing comes on top of the callers that reach them.
OWNER_CAPACITY_RATIO = 0.5
# Two instances read the store for their failure domain, so that one may fail unnoticed.
READERS = 2
# Readers ask the store several times as often as others would, to vouch for what they
# tell; in smaller failure domains that costs more calls than it saves.
FED_DOMAIN_INSTANCES = 8
# All instances start at once; the first to write the secret spares the others a call.
KEY_DELAY_S = 1.5


class Fleet:
    """The other instances: who owns what, and messages to them.

    Instances share a secret that the first of them writes to the store. Until it is
    known each instance is on its own.

    Parameters
    ----------
    settings
        Settings of the process.
    incarnation
        Number that tells this process from its predecessors.
    instances
        Registered instances.
    key_name
        Key of the secret in the store.
    store, timers, metrics
        Services of the process.
    on_message
        Called with the sender and the message.
    on_lost
        Called with an instance whose link has ended.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        instances: Instances,
        key_name: str,
        store: FollowedStore,
        timers: Timers,
        metrics: Metrics,
        on_message: Callable[[str, Message], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._instances = instances
        self._key_name = key_name
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._on_message = on_message
        self._on_lost = on_lost
        self._links: PeerLinks | None = None
        self._key: str | None = None
        self._suspected: dict[str, float] = {}
        self._suspicion_s: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._leaving = False
        self._candidates: dict[str, float] | None = None
        self._candidates_until = 0.0
        self._owners: dict[str, str] = {}
        self._rng = random.Random()

    @property
    def instance(self) -> str:
        """Own name."""
        return self._settings.instance

    @property
    def domain(self) -> str:
        """Own failure domain."""
        return self._settings.domain

    @property
    def count(self) -> int:
        """Number of instances, with this one."""
        return self._instances.count

    @property
    def linked(self) -> bool:
        """Whether messages can be sent."""
        return self._links is not None

    @property
    def neighbours(self) -> list[str]:
        """Other instances of the own failure domain."""
        return [
            name
            for name, record in self._instances.others.items()
            if record.domain == self.domain
        ]

    async def apply(self, change: ReplicaChange) -> None:
        """Take the secret from the store's items, and open links with it."""
        item = change.puts.get(self._key_name)
        if item is None or self._links is not None:
            return
        self._key = item.value.decode("ascii", "replace")
        links = PeerLinks(
            LinkSettings(
                self.instance,
                self.domain,
                self._settings.host,
                self._settings.peer_port,
                (self._key,),
            ),
            self._incarnation,
            self._timers,
            self._metrics,
            self._on_message,
            self._connected,
            self._disconnected,
        )
        self._links = links
        await links.start()
        emit(Event.LINK_KEY_KNOWN, revision=item.mod_revision)
        self.update()

    async def create_key(self) -> None:
        """Write the secret unless another instance writes one first."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, KEY_DELAY_S))
            if self._links is not None:
                return
            await self._write_key()

    async def _write_key(self) -> None:
        value = secrets.token_bytes(KEY_BYTES).hex().encode()
        try:
            await self._store.commit(
                Transaction({self._key_name: 0}, {self._key_name: value})
            )
        except BorageworksError as error:
            # Whoever reads the store next without finding it tries again.
            self._metrics.count("link_key_failures", error.code)

    def update(self) -> None:
        """Take the present list of instances."""
        self._candidates = None
        if self._links is None:
            return
        for name, record in self._instances.others.items():
            self._links.set_address(name, record.host, record.peer_port)

    def release(self, instance: str) -> None:
        """Close the link to an instance that is no longer registered, later.

        An instance that shuts down has its last requests placed by others.
        """
        delay = self._settings.shutdown_s + SILENCE_S
        self._timers.after(delay, lambda _now: self._close(instance))

    def _close(self, instance: str) -> None:
        if self._links is not None and instance not in self._instances.others:
            self._links.remove(instance)

    def send(self, instance: str, message: Message) -> bool:
        """Send a message; return False if it was dropped."""
        return self._links is not None and self._links.send(instance, message)

    def owner(self, key: str) -> str:
        """Return the instance that decides about a key."""
        if self._links is None:
            return self.instance
        if self._timers.now() >= self._candidates_until:
            self._candidates = None
        if self._candidates is None:
            self._candidates = self._find_candidates()
            self._owners.clear()
        owner = self._owners.get(key)
        if owner is None:
            owner = rendezvous(key, self._candidates) or self.instance
            self._owners[key] = owner
        return owner

    def _find_candidates(self) -> dict[str, float]:
        """Return instances that may own something, with their processor.

        Valid until an instance or a suspicion comes or goes.
        """
        now = self._timers.now()
        known = {
            name: record.capacity
            for name, record in self._instances.others.items()
            if self._suspected.get(name, now) <= now
        }
        if not self._leaving or not known:
            known[self.instance] = self._settings.capacity
        least = OWNER_CAPACITY_RATIO * max(known.values())
        self._candidates_until = min(
            (until for until in self._suspected.values() if until > now),
            default=math.inf,
        )
        return {name: capacity for name, capacity in known.items() if capacity >= least}

    def readers(self) -> list[str]:
        """Return the instances of the own failure domain that read the store for it.

        Empty where every instance does.
        """
        if self._links is None:
            return []
        now = self._timers.now()
        names = [
            name for name in self.neighbours if self._suspected.get(name, now) <= now
        ]
        if not self._leaving:
            names.append(self.instance)
        if len(names) < FED_DOMAIN_INSTANCES:
            return []
        return ranked(f"readers/{self.domain}", names)[:READERS]

    def suspect(self, instance: str) -> None:
        """Leave an instance out, longer each time while it shows no sign of life."""
        length = self._suspicion_s.get(instance, SUSPICION_S / 2) * 2
        self._suspicion_s[instance] = min(length, SUSPICION_LIMIT_S)
        self._suspected[instance] = self._timers.now() + self._suspicion_s[instance]
        self._candidates = None

    def note_message(self, instance: str) -> None:
        """Note a sign of life, which ends a suspicion."""
        self._heard[instance] = self._timers.now()
        self._clear(instance)

    def note_silence(self, instance: str) -> None:
        """Note a question without reaction; suspect an instance that says nothing."""
        now = self._timers.now()
        if now - self._heard.get(instance, -SILENCE_S) >= SILENCE_S:
            self.suspect(instance)

    def leave(self) -> None:
        """Own nothing any more."""
        self._leaving = True
        self._candidates = None

    async def stop(self) -> None:
        """Close all links."""
        if self._links is not None:
            await self._links.stop()

    def _connected(self, instance: str) -> None:
        self._clear(instance)

    def _clear(self, instance: str) -> None:
        """End the suspicion of an instance."""
        self._suspicion_s.pop(instance, None)
        if self._suspected.pop(instance, None) is not None:
            self._candidates = None

    def _disconnected(self, instance: str) -> None:
        self.suspect(instance)
        self._on_lost(instance)
