"""Connections to all other instances."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from borageworks.events import Event, emit
from borageworks.exceptions import MessageTooLargeError
from borageworks.metrics import Metrics
from borageworks.timers import Timers, TimerSubscription
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

MAX_QUEUE_BYTES = 8 << 20  # per peer, of estimated message sizes
MESSAGE_OVERHEAD_BYTES = 128  # estimate, without fields of variable size
# Bounds the estimated size; leaves room for the error of the estimate.
MAX_BATCH_BYTES = MAX_FRAME_BYTES // 2
MAX_DEFERRABLE_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 2.0
# Two links that both sides opened at the same time become ready within this time.
SIMULTANEOUS_CONNECT_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_PENDING_HANDSHAKES = 256  # accepted connections only


def _incarnation(link: Link) -> int:
    return link.peer.incarnation if link.peer is not None else 0


def _estimate_bytes(message: Message) -> int:
    match message:
        case HeldAnswerReply(body=body):
            return MESSAGE_OVERHEAD_BYTES + len(body)
        case CatalogObjects(objects=objects):
            return MESSAGE_OVERHEAD_BYTES + sum(8 + len(item) for item in objects)
        case ReplicaNews(items=items):
            return MESSAGE_OVERHEAD_BYTES + sum(
                len(item.key) + len(item.value) for item in items
            )
        case _:
            return MESSAGE_OVERHEAD_BYTES


@dataclass(slots=True)
class _Peer:
    instance: str
    address: tuple[str, int] | None = None
    link: Link | None = None
    pending_link: Link | None = None
    queue: deque[tuple[Message, int]] = field(default_factory=deque)
    queued_bytes: int = 0
    backoff_s: float = 0.0
    retry_timer: TimerSubscription | None = None
    deferrable_timer: TimerSubscription | None = None
    reconnect_on_retry: bool = False
    queue_while_retrying: bool = False


class PeerLinks:
    """Connects to other instances on demand and exchanges messages with them.

    Messages to one instance arrive in order or are lost. Each loss is followed by
    `on_disconnected` or counted in `peer_messages_dropped` with its reason.

    Parameters
    ----------
    settings
        Own name, address to listen on, and shared keys.
    incarnation
        Number that distinguishes this process from other ones of the instance. It has
        no order: the clock of a restarted instance may be behind that of its former
        process. The link that became ready last is that of the running process, since
        the handshake proves that its peer answered just now.
    timers
        Timers of the process.
    metrics
        Counts connections, disconnections, rejected links and dropped messages.
    on_message
        Called with the sender and the message.
    on_connected
        Called with an instance when messages can reach it. When a new connection
        replaces a broken one, it is called again after `on_disconnected`.
    on_disconnected
        Called with an instance when the connection to it has ended.
    rng
        Random source of the reconnect jitter.
    on_unreachable
        Called with an instance when connecting to it has failed.
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
        on_unreachable: Callable[[str], None] | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._metrics = metrics
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._on_unreachable = on_unreachable
        self._rng = rng or random.Random(incarnation)
        self._hello = Hello(settings.instance, incarnation, settings.domain, b"")
        self._authenticator = Authenticator(settings.keys)
        self._peers: dict[str, _Peer] = {}
        self._links: set[Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._instances_to_flush: set[str] = set()
        self._flush_scheduled = False
        self._server: asyncio.Server | None = None
        self._stopped = False
        self._closed_links_bytes_sent = 0
        self._closed_links_bytes_received = 0

    @property
    def address(self) -> tuple[str, int]:
        """Address that the instance listens on."""
        if self._server is None:
            return self._settings.host, self._settings.port
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    @property
    def connected(self) -> frozenset[str]:
        """Instances with a ready link."""
        return frozenset(
            peer.instance for peer in self._peers.values() if peer.link is not None
        )

    @property
    def bytes_sent(self) -> int:
        """Bytes sent, including TCP/IP headers, assuming one packet per write."""
        return self._closed_links_bytes_sent + sum(
            link.bytes_sent for link in self._links
        )

    @property
    def bytes_received(self) -> int:
        """Bytes received, including TCP/IP headers, assuming one packet per read."""
        return self._closed_links_bytes_received + sum(
            link.bytes_received for link in self._links
        )

    async def start(self) -> None:
        """Listen for other instances."""
        host, port = self._settings.host, self._settings.port
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    async def stop(self) -> None:
        """Send queued messages on ready links, then close all links."""
        self._flush()
        self._stopped = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for peer in list(self._peers.values()):
            if peer.retry_timer is not None:
                peer.retry_timer.cancel()
            if peer.deferrable_timer is not None:
                peer.deferrable_timer.cancel()
            self._drop_queue(peer, "stopped")
        for link in list(self._links):
            link.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_address(self, instance: str, host: str, port: int) -> None:
        """Set the address of an instance; does not connect to it yet."""
        peer = self._peer(instance)
        if peer.address != (host, port):
            peer.address = (host, port)
            peer.backoff_s = 0.0
            if peer.retry_timer is not None:
                peer.retry_timer.cancel()
                peer.retry_timer = None

    def add_key(self, key: str) -> None:
        """Sign with another key from now on; the former ones stay accepted."""
        self._authenticator.add_key(key)

    def has_queued(self, instance: str) -> bool:
        """Return whether messages to an instance wait for a connection."""
        peer = self._peers.get(instance)
        return peer is not None and bool(peer.queue)

    def remove(self, instance: str) -> None:
        """Close the links to an instance and discard its address."""
        peer = self._peers.pop(instance, None)
        if peer is None:
            return
        self._instances_to_flush.discard(instance)
        self._drop_queue(peer, "removed")
        if peer.retry_timer is not None:
            peer.retry_timer.cancel()
        if peer.deferrable_timer is not None:
            peer.deferrable_timer.cancel()
        for link in self._links:
            if instance in (link.dialed, link.peer and link.peer.instance):
                link.close()
        if peer.link is not None:
            peer.link = None
            self._report_disconnected(instance)

    def send(
        self, instance: str, message: Message, *, deferrable: bool = False
    ) -> bool:
        """Queue a message, to be sent in the next iteration of the event loop.

        A deferrable message is sent together with the next other message to the
        instance, but after half a second at most: a separate frame adds more bytes than
        the message itself has.

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
        if (
            peer.link is None
            and peer.retry_timer is not None
            and not peer.queue_while_retrying
        ):
            # Connecting has just failed. The message is dropped, since the receiver
            # could act wrongly on a message that arrives late.
            peer.reconnect_on_retry = True
            self._metrics.count("peer_messages_dropped", "unreachable")
            return False
        message_bytes = _estimate_bytes(message)
        if peer.queued_bytes + message_bytes > MAX_QUEUE_BYTES:
            self._metrics.count("peer_messages_dropped", "queue_full")
            return False
        peer.queue.append((message, message_bytes))
        peer.queued_bytes += message_bytes
        if not deferrable:
            self._schedule_flush(instance)
        elif peer.deferrable_timer is None or peer.deferrable_timer.cancelled:
            peer.deferrable_timer = self._timers.after(
                MAX_DEFERRABLE_DELAY_S, lambda _now: self._schedule_flush(instance)
            )
        return True

    def link_identified(self, link: Link) -> bool:
        """Reject unexpected peers and one of two simultaneous connections."""
        assert link.peer is not None
        instance = link.peer.instance
        if instance == self._settings.instance:
            return self._reject(link, "own_instance")
        if link.dialed is not None:
            if instance != link.dialed:
                return self._reject(link, "other_instance")
            return True
        peer = self._peers.get(instance)
        if peer is not None and peer.pending_link is not None:
            # Both sides connect: keep the connection opened by the smaller name.
            return instance < self._settings.instance
        return True

    def link_ready(self, link: Link) -> None:
        """Start to use the link for messages to its peer."""
        assert link.peer is not None
        instance = link.peer.instance
        if self._stopped or (link.dialed is not None and instance not in self._peers):
            link.close()
            return
        peer = self._peer(instance)
        old = peer.link
        link.ready_at = self._timers.now()
        if peer.pending_link is not None:
            pending_link, peer.pending_link = peer.pending_link, None
            if pending_link is not link:
                pending_link.close()
        peer.backoff_s = 0.0
        if peer.retry_timer is not None:
            peer.retry_timer.cancel()
            peer.retry_timer = None
        peer.link = link
        if old is not None:
            if self._opened_simultaneously(old, link):
                redundant = old
                if self._opened_by_smaller_name(old):
                    peer.link, redundant = old, link
                # Messages from the peer may still be in flight on the redundant link.
                self._timers.after(
                    SIMULTANEOUS_CONNECT_S, lambda _now: redundant.close()
                )
                self._schedule_flush(instance)
                return
            old.close()
            self._report_disconnected(instance)
        emit(Event.PEER_CONNECTED, instance=instance)
        self._metrics.count("peer_connections")
        self._on_connected(instance)
        self._schedule_flush(instance)

    def link_received(self, link: Link, message: Message) -> None:
        """Pass the message to `on_message`."""
        assert link.peer is not None
        self._on_message(link.peer.instance, message)

    def link_writable(self, link: Link) -> None:
        """Send the messages queued since the transport's buffer was full."""
        if link.peer is not None:
            self._schedule_flush(link.peer.instance)

    def link_closed(self, link: Link) -> None:
        """Report the lost connection and reconnect if messages are queued."""
        if link in self._links:
            self._links.discard(link)
            self._closed_links_bytes_sent += link.bytes_sent
            self._closed_links_bytes_received += link.bytes_received
        instance = link.peer.instance if link.peer else link.dialed
        peer = self._peers.get(instance) if instance is not None else None
        if peer is None or self._stopped:
            return
        if peer.pending_link is link:
            peer.pending_link = None
            self._schedule_retry(peer, hello_received=link.peer is not None)
        if peer.link is link:
            peer.link = None
            self._drop_queue(peer, "disconnected")
            self._report_disconnected(peer.instance)
        if peer.link is None and peer.pending_link is None:
            if peer.address is None:
                self._peers.pop(peer.instance, None)
            elif peer.queue:
                self._schedule_flush(peer.instance)

    def _peer(self, instance: str) -> _Peer:
        peer = self._peers.get(instance)
        if peer is None:
            peer = self._peers[instance] = _Peer(instance)
        return peer

    def _accept(self) -> Link:
        link = Link(self, self._hello, self._authenticator, self._metrics, None)
        pending = sum(
            1 for other in self._links if not other.ready and other.dialed is None
        )
        if self._stopped or pending >= MAX_PENDING_HANDSHAKES:
            self._metrics.count("peer_links_rejected", "too_many")
            link.close()
            return link
        self._links.add(link)
        self._start_handshake_timeout(link)
        return link

    def _start_handshake_timeout(self, link: Link) -> None:
        self._timers.after(
            HANDSHAKE_TIMEOUT_S, lambda _now: None if link.ready else link.close()
        )

    def _reject(self, link: Link, reason: str) -> bool:
        assert link.peer is not None
        self._metrics.count("peer_links_rejected", reason)
        emit(
            Event.PEER_REJECTED,
            instance=link.peer.instance,
            code=reason,
            reason=f"expected instance {link.dialed!r}",
        )
        return False

    def _opened_simultaneously(self, old: Link, new: Link) -> bool:
        return (
            not old.closed
            and _incarnation(old) == _incarnation(new)
            and (old.dialed is None) != (new.dialed is None)
            and new.ready_at - old.ready_at < SIMULTANEOUS_CONNECT_S
        )

    def _opened_by_smaller_name(self, link: Link) -> bool:
        assert link.peer is not None
        own_name_is_smaller = self._settings.instance < link.peer.instance
        return own_name_is_smaller == (link.dialed is not None)

    def _report_disconnected(self, instance: str) -> None:
        emit(Event.PEER_DISCONNECTED, instance=instance)
        self._metrics.count("peer_disconnections")
        self._on_disconnected(instance)

    def _schedule_flush(self, instance: str) -> None:
        self._instances_to_flush.add(instance)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        instances, self._instances_to_flush = self._instances_to_flush, set()
        if self._stopped:
            return
        for instance in instances:
            peer = self._peers.get(instance)
            if peer is None or not peer.queue:
                continue
            if peer.link is not None:
                self._flush_peer(peer, peer.link)
            elif peer.pending_link is None and peer.retry_timer is None:
                self._connect(peer)

    def _flush_peer(self, peer: _Peer, link: Link) -> None:
        while peer.queue and link.writable:
            batch: list[Message] = []
            batch_bytes = 0
            while peer.queue and (
                not batch or batch_bytes + peer.queue[0][1] < MAX_BATCH_BYTES
            ):
                message, message_bytes = peer.queue.popleft()
                peer.queued_bytes -= message_bytes
                batch_bytes += message_bytes
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
        peer.reconnect_on_retry = False
        link = Link(
            self, self._hello, self._authenticator, self._metrics, peer.instance
        )
        peer.pending_link = link
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
        self._start_handshake_timeout(link)

    def _schedule_retry(self, peer: _Peer, hello_received: bool) -> None:
        if peer.link is not None:
            return
        peer.reconnect_on_retry = bool(peer.queue)
        # A peer that closes after its Hello is connecting to this instance itself.
        peer.queue_while_retrying = hello_received and peer.backoff_s == 0.0
        if not peer.queue_while_retrying:
            self._drop_queue(peer, "unreachable")
        peer.backoff_s = min(max(peer.backoff_s * 2, INITIAL_BACKOFF_S), MAX_BACKOFF_S)
        delay_s = peer.backoff_s * self._rng.uniform(0.5, 1.0)
        peer.retry_timer = self._timers.after(delay_s, lambda _now: self._retry(peer))
        if not peer.queue_while_retrying and self._on_unreachable is not None:
            self._on_unreachable(peer.instance)

    def _retry(self, peer: _Peer) -> None:
        peer.retry_timer = None
        if peer.reconnect_on_retry and peer.link is None and peer.pending_link is None:
            self._connect(peer)

    def _drop_queue(self, peer: _Peer, reason: str) -> None:
        if peer.queue:
            self._metrics.count("peer_messages_dropped", reason, len(peer.queue))
            peer.queue.clear()
            peer.queued_bytes = 0
