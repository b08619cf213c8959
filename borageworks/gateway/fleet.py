"""Ownership of keys among the instances, and messages between them."""

from __future__ import annotations

import asyncio
import math
import random
import re
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
_KEY = re.compile(rf"[0-9a-f]{{{2 * KEY_BYTES}}}", re.ASCII)
# First exclusion of a suspected instance, slightly longer than a restart takes.
INITIAL_SUSPICION_S = 1.0
# Longest exclusion, after which an instance that stays unreachable is tried again.
MAX_SUSPICION_S = 8.0
# Time for an instance to open a new link.
PEER_TIMEOUT_S = 0.25
# An instance that owes a reply and sends none for this time is passed over, and taken
# for lost if it sends nothing else either. One that works on a backlog replies to
# something in each iteration of its loop. Ownership does not move for less: a new owner
# knows less about the load of the endpoints, and has no more room than the former one.
SILENCE_S = 0.5
# The same for one that was silent before, until it is heard, or replies.
PROBATION_SILENCE_S = 0.1
# Instances below this fraction of the largest capacity own no keys: placement adds to
# the load of the callers that connect to them.
MIN_OWNER_CAPACITY_RATIO = 0.5
# With two readers, one may fail without interrupting updates to the failure domain.
READERS_PER_DOMAIN = 2
# Readers query the store several times as often as other instances would, to confirm
# that their updates are current. In a smaller failure domain that costs more calls than
# it saves.
MIN_DOMAIN_INSTANCES_FOR_READERS = 8
# All instances start at once; the random delay lets one write the secret for the rest.
MAX_KEY_DELAY_S = 1.5


class Fleet:
    """Ownership of keys among the instances, and messages between them.

    Links are authenticated by a shared secret that the first instance writes to the
    store. Until an instance knows the secret, it owns every key itself.

    Parameters
    ----------
    settings
        Settings of the process.
    incarnation
        Number that distinguishes this process from earlier ones of the same instance.
    instances
        Registered instances.
    key_name
        Key of the secret in the store.
    store, timers, metrics
        Services of the process.
    on_message
        Called with the sender and the message.
    on_interrupted
        Called with an instance whose link has ended, although it may still run.
    on_lost
        Called with an instance that is not reachable after its link has ended.
    on_connected
        Called with an instance to which a link has opened.
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
        on_interrupted: Callable[[str], None],
        on_lost: Callable[[str], None],
        on_connected: Callable[[str], None] = lambda _instance: None,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._instances = instances
        self._key_name = key_name
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._on_message = on_message
        self._on_interrupted = on_interrupted
        self._on_lost = on_lost
        self._on_connected = on_connected
        self._links: PeerLinks | None = None
        self._key: str | None = None
        # Revision of a secret that cannot be used, 0 if there is none.
        self._malformed_revision = 0
        self._suspected_until: dict[str, float] = {}
        self._suspicion_s: dict[str, float] = {}
        # Suspected instances that were tried early since another instance reaches them.
        self._vouched: set[str] = set()
        self._last_message_at: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        # Instances that have not replied since they owed a reply for too long.
        self._unresponsive: set[str] = set()
        self._leaving = False
        self._candidates: dict[str, float] | None = None
        self._candidates_until = 0.0
        self._owners: dict[str, str] = {}
        # Whether this instance owns a key only since it suspects the owner.
        self._standing_in: dict[str, bool] = {}
        self._rng = random.Random()

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._settings.instance

    @property
    def domain(self) -> str:
        """Failure domain of this instance."""
        return self._settings.domain

    @property
    def count(self) -> int:
        """Number of instances, including this one."""
        return self._instances.count

    @property
    def reachable_ratio(self) -> float:
        """Fraction of the instances that this one represents, 1 for most of them.

        If half of the instances or more do not respond, they may run and do the same.
        """
        if self._links is None:
            return 1.0 / self.count
        now = self._timers.now()
        others = self._instances.others
        suspected = sum(self._suspected_until.get(name, now) > now for name in others)
        if 2 * suspected < self.count:
            return 1.0
        return (self.count - suspected) / self.count

    @property
    def registered_s(self) -> float:
        """Seconds for which all instances could know this one, 0 if not now."""
        return self._instances.registered_s(self._timers.now())

    @property
    def linked(self) -> bool:
        """Whether links are open, so that messages can be sent."""
        return self._links is not None

    @property
    def domain_peers(self) -> list[str]:
        """Other instances of the same failure domain."""
        return [
            name
            for name, record in self._instances.others.items()
            if record.domain == self.domain
        ]

    async def apply(self, change: ReplicaChange) -> None:
        """Read the shared secret from changed store items and open links with it.

        Another secret than the known one was written after a restore of the store, by
        an instance that did not know this one.
        """
        item = change.puts.get(self._key_name)
        if item is None:
            return
        key = item.value.decode("ascii", "replace")
        if not _KEY.fullmatch(key):
            # Another writer left it; it is replaced like a secret that is missing.
            self._metrics.count("link_key_failures", "malformed")
            self._malformed_revision = item.mod_revision
            await self.restore_key()
            return
        if self._links is not None:
            if key != self._key:
                self._key = key
                self._links.add_key(key)
                emit(Event.LINK_KEY_KNOWN, revision=item.mod_revision)
            return
        self._key = key
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
            on_unreachable=self._lost,
        )
        self._links = links
        await links.start()
        emit(Event.LINK_KEY_KNOWN, revision=item.mod_revision)
        self.update()

    async def create_key(self) -> None:
        """Write the shared secret unless another instance has written one."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_KEY_DELAY_S))
            if self._links is not None:
                return
            await self._write_key(secrets.token_bytes(KEY_BYTES).hex())

    async def restore_key(self) -> None:
        """Write the known secret to a store that does not hold it any more."""
        if self._key is not None:
            await self._write_key(self._key)

    async def _write_key(self, key: str) -> None:
        value = key.encode()
        try:
            await self._store.commit(
                Transaction(
                    {self._key_name: self._malformed_revision}, {self._key_name: value}
                )
            )
        except BorageworksError as error:
            # `create_key` retries unless the secret has appeared in the store.
            self._metrics.count("link_key_failures", error.code)

    def update(self) -> None:
        """Apply the current list of instances."""
        self._candidates = None
        if self._links is None:
            return
        for name, record in self._instances.others.items():
            self._links.set_address(name, record.host, record.peer_port)

    def schedule_close(self, instance: str) -> None:
        """Close the link to a deregistered instance after its shutdown time.

        Until then, other instances still place the last requests of that instance.
        """
        delay = self._settings.shutdown_timeout_s + PEER_TIMEOUT_S
        self._timers.after(delay, lambda _now: self._close(instance))

    def _close(self, instance: str) -> None:
        if self._links is not None and instance not in self._instances.others:
            self._links.remove(instance)

    def broadcast(self, message: Message) -> None:
        """Send a message to all other instances."""
        for instance in self._instances.others:
            self.send(instance, message)

    def send(self, instance: str, message: Message) -> bool:
        """Send a message; return False if it was dropped."""
        return self._links is not None and self._links.send(instance, message)

    def owner(self, key: str) -> str:
        """Return the instance that owns a key."""
        if self._links is None:
            return self.instance
        if self._timers.now() >= self._candidates_until:
            self._candidates = None
        if self._candidates is None:
            self._candidates = self._find_candidates()
            self._owners.clear()
            self._standing_in.clear()
        owner = self._owners.get(key)
        if owner is None:
            owner = rendezvous(key, self._candidates) or self.instance
            self._owners[key] = owner
        return owner

    def _find_candidates(self) -> dict[str, float]:
        """Return the capacity of each instance that may own keys.

        Valid until the list of instances or the set of suspected instances changes.
        """
        now = self._timers.now()
        capacities = {
            name: record.capacity
            for name, record in self._instances.others.items()
            if self._suspected_until.get(name, now) <= now
        }
        self._candidates_until = min(
            (until for until in self._suspected_until.values() if until > now),
            default=math.inf,
        )
        return self._eligible(capacities)

    def _eligible(self, capacities: dict[str, float]) -> dict[str, float]:
        """Return those of other instances, and this one, that may own keys."""
        if not self._leaving or not capacities:
            capacities[self.instance] = self._settings.capacity
        min_capacity = MIN_OWNER_CAPACITY_RATIO * max(capacities.values())
        return {
            name: capacity
            for name, capacity in capacities.items()
            if capacity >= min_capacity
        }

    def is_standing_in(self, key: str) -> bool:
        """Return whether this instance owns a key since it suspects the owner.

        Other instances may not suspect it, and ask it or a third one.
        """
        if self.owner(key) != self.instance:
            return False
        standing_in = self._standing_in.get(key)
        if standing_in is None:
            standing_in = self._unsuspected_owner(key) != self.instance
            self._standing_in[key] = standing_in
        return standing_in

    def _unsuspected_owner(self, key: str) -> str | None:
        """Return the owner of a key if no instance were suspected."""
        others = self._instances.others.items()
        return rendezvous(
            key, self._eligible({name: record.capacity for name, record in others})
        )

    def stand_in(self, key: str) -> str | None:
        """Return the instance that owns a key while its owner is suspected."""
        if self._candidates is None:
            self._candidates = self._find_candidates()
        owners = ranked(key, self._candidates)
        return owners[1] if len(owners) > 1 else None

    def successors(self, key: str) -> set[str]:
        """Return the instances that own a key after the loss of its owner.

        One of them does so after the loss of the owner's whole failure domain.
        """
        if self._candidates is None:
            self._candidates = self._find_candidates()
        owners = ranked(key, self._candidates)
        if len(owners) < 2:
            return set()
        domain = self._domain_of(owners[0])
        elsewhere = (name for name in owners if self._domain_of(name) != domain)
        return {owners[1], next(elsewhere, owners[1])}

    def _domain_of(self, instance: str) -> str:
        record = self._instances.others.get(instance)
        return self.domain if record is None else record.domain

    def readers(self) -> list[str]:
        """Return the instances that read the store for this failure domain.

        Empty if every instance reads the store itself.
        """
        if self._links is None:
            return []
        now = self._timers.now()
        names = [
            name
            for name in self.domain_peers
            if self._suspected_until.get(name, now) <= now
        ]
        if not self._leaving:
            names.append(self.instance)
        if len(names) < MIN_DOMAIN_INSTANCES_FOR_READERS:
            return []
        return ranked(f"readers/{self.domain}", names)[:READERS_PER_DOMAIN]

    def suspect(self, instance: str) -> None:
        """Exclude an instance from ownership, with exponential backoff.

        Further signs of the same failure do not extend the exclusion.
        """
        now = self._timers.now()
        if self._suspected_until.get(instance, now) > now:
            return
        duration_s = self._suspicion_s.get(instance, INITIAL_SUSPICION_S / 2) * 2
        self._suspicion_s[instance] = min(duration_s, MAX_SUSPICION_S)
        self._suspected_until[instance] = now + self._suspicion_s[instance]
        self._candidates = None

    def vouch(self, instance: str) -> None:
        """Try a suspected instance again, since another instance reaches it.

        If that fails, the exclusion lasts: the instance may not be reachable from here.
        """
        if instance in self._suspected_until and instance not in self._vouched:
            self._vouched.add(instance)
            del self._suspected_until[instance]
            self._candidates = None

    def record_message(self, instance: str) -> None:
        """Record a message from an instance, which ends its suspicion."""
        self._last_message_at[instance] = self._timers.now()
        self._clear(instance)

    def silent_s(self, instance: str) -> float:
        """Return the seconds since the last message from an instance."""
        return self._timers.now() - self._last_message_at.get(instance, -math.inf)

    def silence_left_s(self, instance: str, asked_at: float) -> float:
        """Return the seconds until an instance counts as silent, 0 or less if it does.

        Parameters
        ----------
        instance
            Instance that owes a reply.
        asked_at
            Time since which it owes one. Messages that are no reply do not show that
            it receives what this instance sends.
        """
        replied_at = max(self._replied_at.get(instance, asked_at), asked_at)
        limit_s = self._max_silence_s(instance)
        if instance in self._unresponsive:
            limit_s = PROBATION_SILENCE_S
        return limit_s + replied_at - self._timers.now()

    def record_reply(self, instance: str) -> None:
        """Record that an instance has received what this one sent."""
        self._replied_at[instance] = self._timers.now()
        self._unresponsive.discard(instance)

    def _max_silence_s(self, instance: str) -> float:
        return PROBATION_SILENCE_S if instance in self._suspicion_s else SILENCE_S

    def record_timeout(self, instance: str) -> None:
        """Record a missing reply; suspect an instance that sends no messages."""
        if self.silent_s(instance) >= self._max_silence_s(instance):
            self.suspect(instance)
        self._unresponsive.add(instance)

    def leave(self) -> None:
        """Give up ownership of all keys."""
        self._leaving = True
        self._candidates = None

    async def stop(self) -> None:
        """Close all links."""
        if self._links is not None:
            await self._links.stop()

    def _connected(self, instance: str) -> None:
        """Record the handshake, which proves like a message that an instance runs."""
        self.record_message(instance)
        self._unresponsive.discard(instance)
        self._on_connected(instance)

    def _clear(self, instance: str) -> None:
        """End the suspicion of an instance."""
        self._suspicion_s.pop(instance, None)
        self._vouched.discard(instance)
        if self._suspected_until.pop(instance, None) is not None:
            self._candidates = None

    def _disconnected(self, instance: str) -> None:
        """Handle the end of a link; its instance may run and accept a new one.

        Replies that are late until a new link is open do not show that it is silent.
        """
        self._last_message_at[instance] = self._timers.now()
        self._on_interrupted(instance)
        links = self._links
        if links is not None and links.has_queued(instance):
            self._timers.after(
                PEER_TIMEOUT_S, lambda _now: self._check_reconnected(instance)
            )

    def _check_reconnected(self, instance: str) -> None:
        if self._links is not None and instance not in self._links.connected:
            self._lost(instance)

    def _lost(self, instance: str) -> None:
        """Handle an instance to which no link could be opened."""
        self.suspect(instance)
        self._on_lost(instance)
