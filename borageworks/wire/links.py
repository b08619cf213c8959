"""Links to all other instances."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from borageworks.events import Event, emit
from borageworks.exceptions import MessageTooLargeError
from borageworks.metrics import Metrics
from borageworks.timers import Subscription, Timers
from borageworks.wire.authenticator import Authenticator
from borageworks.wire.codec import encode
from borageworks.wire.link import MAX_FRAME_BYTES, Link
from borageworks.wire.link_settings import LinkSettings
from borageworks.wire.messages import (
    CatalogObjects,
    HeldAnswerReply,
    Hello,
    Message,
    ReplicaNews,
)

QUEUE_BYTES = 8 << 20  # per peer, estimated
MESSAGE_BYTES = 128  # estimate of a message without its body
FRAME_BYTES = MAX_FRAME_BYTES // 2  # estimated; leaves room for the estimate's error
LAZY_S = 0.5
CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 2.0
# Links that both sides opened at the same time are ready within this time.
SIMULTANEOUS_S = 2.0
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 5.0
UNGREETED_LIMIT = 256  # accepted connections that have not finished the handshake


def _incarnation(link: Link) -> int:
    return link.peer.incarnation if link.peer is not None else 0


def _size(message: Message) -> int:
    match message:
        case HeldAnswerReply(body=body):
            return MESSAGE_BYTES + len(body)
        case CatalogObjects(objects=objects):
            return MESSAGE_BYTES + sum(8 + len(item) for item in objects)
        case ReplicaNews(items=items):
            return MESSAGE_BYTES + sum(
                len(item.key) + len(item.value) for item in items
            )
        case _:
            return MESSAGE_BYTES


@dataclass(slots=True)
class _Peer:
    instance: str
    address: tuple[str, int] | None = None
    link: Link | None = None
    dial: Link | None = None
    queue: deque[tuple[Message, int]] = field(default_factory=deque)
    queued_bytes: int = 0
    backoff: float = 0.0
    retry: Subscription | None = None
    lazy: Subscription | None = None
    wanted: bool = False
    keep_queue: bool = False


class PeerLinks:
    """Connects to instances on demand and sends them messages.

    Messages to one instance arrive in order or are lost; a loss is always followed by
    `on_disconnected` or counted in `peer_messages_dropped` with its reason.

    Parameters
    ----------
    settings
        Own name, address to listen on, and shared secrets.
    incarnation
        Number that tells this process from its predecessors.
    timers
        Timers of the process.
    metrics
        Counts dropped messages and rejected links.
    on_message
        Called with the sending instance and its message.
    on_connected
        Called with an instance when messages reach it again. It is called again, after
        `on_disconnected`, when a new connection replaces a broken one.
    on_disconnected
        Called with an instance when its connection has ended.
    rng
        Source of the reconnect jitter.
    """

    def __init__(
        self,
        settings: LinkSettings,
        incarnation: int,
        timers: Timers,
        metrics: Metrics,
        on_message: Callable[[str, Message], None],
        on_connected: Callable[[str], None],
        on_disconnected: Callable[[str], None],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._rng = rng or random.Random(incarnation)
        self._hello = Hello(settings.instance, incarnation, settings.domain, b"")
        self._authenticator = Authenticator(settings.keys)
        self._peers: dict[str, _Peer] = {}
        self._links: set[Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._dirty: set[str] = set()
        self._flush_scheduled = False
        self._server: asyncio.Server | None = None
        self._stopped = False
        self._closed_bytes_sent = 0
        self._closed_bytes_received = 0

    @property
    def address(self) -> tuple[str, int]:
        """Address that the instance listens on."""
        if self._server is None:
            return self._settings.host, self._settings.port
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    @property
    def connected(self) -> frozenset[str]:
        """Instances with a working link."""
        return frozenset(
            peer.instance for peer in self._peers.values() if peer.link is not None
        )

    @property
    def bytes_sent(self) -> int:
        """Bytes sent, with TCP/IP headers of one packet per write."""
        return self._closed_bytes_sent + sum(link.bytes_sent for link in self._links)

    @property
    def bytes_received(self) -> int:
        """Bytes received, with TCP/IP headers of one packet per read."""
        return self._closed_bytes_received + sum(
            link.bytes_received for link in self._links
        )

    async def start(self) -> None:
        """Listen for other instances."""
        host, port = self._settings.host, self._settings.port
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    async def stop(self) -> None:
        """Send what is queued on open links, then close all."""
        self._flush()
        self._stopped = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for peer in list(self._peers.values()):
            if peer.retry is not None:
                peer.retry.cancel()
            if peer.lazy is not None:
                peer.lazy.cancel()
            self._drop_queue(peer, "stopped")
        for link in list(self._links):
            link.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_address(self, instance: str, host: str, port: int) -> None:
        """Set where an instance listens; a connection is made when needed."""
        peer = self._peer(instance)
        if peer.address != (host, port):
            peer.address = (host, port)
            peer.backoff = 0.0
            if peer.retry is not None:
                peer.retry.cancel()
                peer.retry = None

    def remove(self, instance: str) -> None:
        """Close the link to an instance and forget its address."""
        peer = self._peers.pop(instance, None)
        if peer is None:
            return
        self._dirty.discard(instance)
        self._drop_queue(peer, "removed")
        if peer.retry is not None:
            peer.retry.cancel()
        if peer.lazy is not None:
            peer.lazy.cancel()
        for link in self._links:
            if instance in (link.dialed, link.peer and link.peer.instance):
                link.close()
        if peer.link is not None:
            peer.link = None
            self._disconnected(instance)

    def send(self, instance: str, message: Message, *, lazy: bool = False) -> bool:
        """Queue a message until the end of this loop turn.

        A lazy message waits for the next other message to the instance, for half a
        second at most, since a frame of its own costs more bytes than its content.

        Returns
        -------
        bool
            False if the message was dropped.
        """
        peer = self._peers.get(instance)
        if peer is None or (peer.address is None and peer.link is None):
            self._metrics.count("peer_messages_dropped", "address_unknown")
            return False
        if self._stopped:
            self._metrics.count("peer_messages_dropped", "stopped")
            return False
        if peer.link is None and peer.retry is not None and not peer.keep_queue:
            # Connecting failed a moment ago: a late message could be harmful.
            peer.wanted = True
            self._metrics.count("peer_messages_dropped", "unreachable")
            return False
        size = _size(message)
        if peer.queued_bytes + size > QUEUE_BYTES:
            self._metrics.count("peer_messages_dropped", "queue_full")
            return False
        peer.queue.append((message, size))
        peer.queued_bytes += size
        if not lazy:
            self._mark(instance)
        elif peer.lazy is None or peer.lazy.cancelled:
            peer.lazy = self._timers.after(LAZY_S, lambda _now: self._mark(instance))
        return True

    def link_greeted(self, link: Link) -> bool:
        """Decide whether the connection of a named peer goes on."""
        assert link.peer is not None
        instance = link.peer.instance
        if instance == self._settings.instance:
            return self._refuse(link, "own_instance")
        if link.dialed is not None:
            if instance != link.dialed:
                return self._refuse(link, "other_instance")
            return True
        peer = self._peers.get(instance)
        if peer is not None and peer.dial is not None:
            # Both sides connect: the connection of the lesser name is kept.
            return instance < self._settings.instance
        return True

    def link_ready(self, link: Link) -> None:
        """Use the link for its peer."""
        assert link.peer is not None
        instance = link.peer.instance
        if self._stopped or (link.dialed is not None and instance not in self._peers):
            link.close()
            return
        peer = self._peer(instance)
        old = peer.link
        if old is not None and _incarnation(old) > _incarnation(link):
            self._refuse(link, "older_incarnation")
            link.close()
            return
        link.ready_at = self._timers.now()
        if peer.dial is not None:
            dial, peer.dial = peer.dial, None
            if dial is not link:
                dial.close()
        peer.backoff = 0.0
        if peer.retry is not None:
            peer.retry.cancel()
            peer.retry = None
        peer.link = link
        if old is not None:
            if self._simultaneous(old, link):
                spare = old
                if self._opened_by_lesser(old):
                    peer.link, spare = old, link
                # The peer may still have sent messages on the other link.
                self._timers.after(SIMULTANEOUS_S, lambda _now: spare.close())
                self._mark(instance)
                return
            old.close()
            self._disconnected(instance)
        emit(Event.PEER_CONNECTED, instance=instance)
        self._metrics.count("peer_connections")
        self._on_connected(instance)
        self._mark(instance)

    def link_received(self, link: Link, message: Message) -> None:
        """Pass a message on."""
        assert link.peer is not None
        self._on_message(link.peer.instance, message)

    def link_writable(self, link: Link) -> None:
        """Send what has been queued meanwhile."""
        if link.peer is not None:
            self._mark(link.peer.instance)

    def link_closed(self, link: Link) -> None:
        """Forget a link."""
        if link in self._links:
            self._links.discard(link)
            self._closed_bytes_sent += link.bytes_sent
            self._closed_bytes_received += link.bytes_received
        instance = link.peer.instance if link.peer else link.dialed
        peer = self._peers.get(instance) if instance is not None else None
        if peer is None or self._stopped:
            return
        if peer.dial is link:
            peer.dial = None
            self._back_off(peer, answered=link.peer is not None)
        if peer.link is link:
            peer.link = None
            self._drop_queue(peer, "disconnected")
            self._disconnected(peer.instance)
        if peer.link is None and peer.dial is None:
            if peer.address is None:
                self._peers.pop(peer.instance, None)
            elif peer.queue:
                self._mark(peer.instance)

    def _peer(self, instance: str) -> _Peer:
        peer = self._peers.get(instance)
        if peer is None:
            peer = self._peers[instance] = _Peer(instance)
        return peer

    def _accept(self) -> Link:
        link = Link(self, self._hello, self._authenticator, self._metrics, None)
        waiting = sum(
            1 for other in self._links if not other.ready and other.dialed is None
        )
        if self._stopped or waiting >= UNGREETED_LIMIT:
            self._metrics.count("peer_links_rejected", "too_many")
            link.close()
            return link
        self._links.add(link)
        self._limit_handshake(link)
        return link

    def _limit_handshake(self, link: Link) -> None:
        self._timers.after(
            HANDSHAKE_TIMEOUT_S, lambda _now: None if link.ready else link.close()
        )

    def _refuse(self, link: Link, reason: str) -> bool:
        assert link.peer is not None
        self._metrics.count("peer_links_rejected", reason)
        emit(
            Event.PEER_REJECTED,
            instance=link.peer.instance,
            code=reason,
            reason=f"expected instance {link.dialed!r}",
        )
        return False

    def _simultaneous(self, old: Link, new: Link) -> bool:
        return (
            not old.closed
            and _incarnation(old) == _incarnation(new)
            and (old.dialed is None) != (new.dialed is None)
            and new.ready_at - old.ready_at < SIMULTANEOUS_S
        )

    def _opened_by_lesser(self, link: Link) -> bool:
        assert link.peer is not None
        own_is_lesser = self._settings.instance < link.peer.instance
        return own_is_lesser == (link.dialed is not None)

    def _disconnected(self, instance: str) -> None:
        emit(Event.PEER_DISCONNECTED, instance=instance)
        self._metrics.count("peer_disconnections")
        self._on_disconnected(instance)

    def _mark(self, instance: str) -> None:
        self._dirty.add(instance)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        dirty, self._dirty = self._dirty, set()
        if self._stopped:
            return
        for instance in dirty:
            peer = self._peers.get(instance)
            if peer is None or not peer.queue:
                continue
            if peer.link is not None:
                self._flush_peer(peer, peer.link)
            elif peer.dial is None and peer.retry is None:
                self._connect(peer)

    def _flush_peer(self, peer: _Peer, link: Link) -> None:
        while peer.queue and link.writable:
            batch: list[Message] = []
            total = 0
            while peer.queue and (not batch or total + peer.queue[0][1] < FRAME_BYTES):
                message, size = peer.queue.popleft()
                peer.queued_bytes -= size
                total += size
                batch.append(message)
            self._send_batch(link, batch)

    def _send_batch(self, link: Link, batch: list[Message]) -> None:
        try:
            link.send(encode(batch))
        except MessageTooLargeError:
            if len(batch) == 1:
                self._metrics.count("peer_messages_dropped", "too_large")
                return
            middle = len(batch) // 2
            self._send_batch(link, batch[:middle])
            self._send_batch(link, batch[middle:])

    def _connect(self, peer: _Peer) -> None:
        if peer.address is None:
            self._drop_queue(peer, "address_unknown")
            return
        peer.wanted = False
        link = Link(
            self, self._hello, self._authenticator, self._metrics, peer.instance
        )
        peer.dial = link
        self._links.add(link)
        task = asyncio.get_running_loop().create_task(self._dial(link, peer.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, link: Link, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, *address)
        except OSError:  # includes the timeout
            link.close()
            self.link_closed(link)
            return
        self._limit_handshake(link)

    def _back_off(self, peer: _Peer, answered: bool) -> None:
        if peer.link is not None:
            return
        peer.wanted = bool(peer.queue)
        # A peer that greets and then closes is connecting to this instance itself.
        peer.keep_queue = answered and peer.backoff == 0.0
        if not peer.keep_queue:
            self._drop_queue(peer, "unreachable")
        peer.backoff = min(max(peer.backoff * 2, BACKOFF_FIRST_S), BACKOFF_LIMIT_S)
        delay = peer.backoff * self._rng.uniform(0.5, 1.0)
        peer.retry = self._timers.after(delay, lambda _now: self._retry(peer))

    def _retry(self, peer: _Peer) -> None:
        peer.retry = None
        if peer.wanted and peer.link is None and peer.dial is None:
            self._connect(peer)

    def _drop_queue(self, peer: _Peer, reason: str) -> None:
        if peer.queue:
            self._metrics.count("peer_messages_dropped", reason, len(peer.queue))
            peer.queue.clear()
            peer.queued_bytes = 0
