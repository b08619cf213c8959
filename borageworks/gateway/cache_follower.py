"""Tracks which prompt parts the model engines have cached."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from borageworks.endpoints.bounded_body import read_bounded
from borageworks.exceptions import EndpointFailedError, EndpointReplyMalformedError
from borageworks.gateway.codec import Codec
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.endpoint_notices import EndpointNotices
from borageworks.gateway.placer import Placer
from borageworks.gateway.upstream import Upstream
from borageworks.metrics import Metrics
from borageworks.placement.cache_update import CacheUpdate
from borageworks.placement.shards import Shard

# An engine responds to a long poll as soon as something changes; the delay between
# polls bounds the call rate under load.
POLL_DELAY_S = 0.4
LONG_POLL_WAIT_MS = 1000
CALL_TIMEOUT_S = 1.6
RETRY_DELAY_S = 0.5
# Several times the size of the list of an engine whose cache is full.
MAX_RESPONSE_BYTES = 1_048_576
HTTP_OK = 200


class CacheFollower:
    """Tracks which prompt parts the model engines have cached.

    Reads the full list of an engine once, then long-polls it for changes.

    Parameters
    ----------
    codec, placer, upstream, notices, metrics
        Components of the gateway.
    """

    def __init__(
        self,
        codec: Codec,
        placer: Placer,
        upstream: Upstream,
        notices: EndpointNotices,
        metrics: Metrics,
    ) -> None:
        self._codec = codec
        self._placer = placer
        self._upstream = upstream
        self._notices = notices
        self._metrics = metrics
        self._tasks: dict[tuple[Shard, str], asyncio.Task[None]] = {}
        self._reported_at: dict[str, float] = {}
        # The decoded rows of a large report take twenty times its bytes.
        self._decoding = asyncio.Lock()
        metrics.before_render(self._update_age_gauges)

    def update(self) -> None:
        """Start and stop polling so that all engines of owned shards are polled."""
        wanted = {
            (shard, state.endpoint.incarnation): state.endpoint
            for shard, dispatcher in self._placer.dispatchers.items()
            if dispatcher.has_engines and self._placer.owns(shard)
            for state in dispatcher.endpoints.values()
        }
        for key in set(self._tasks) - set(wanted):
            self._tasks.pop(key).cancel()
        for key, endpoint in wanted.items():
            if key not in self._tasks:
                self._tasks[key] = asyncio.get_running_loop().create_task(
                    self._follow(key[0], endpoint)
                )

    def stop(self) -> None:
        """Stop polling all engines."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _update_age_gauges(self) -> None:
        now = asyncio.get_running_loop().time()
        followed = {
            state.endpoint.id
            for (shard, _) in self._tasks
            for state in self._placer.dispatchers[shard].endpoints.values()
        }
        self._reported_at = {
            name: at for name, at in self._reported_at.items() if name in followed
        }
        self._metrics.clear_gauge("engine_report_age_s")
        for name, at in self._reported_at.items():
            self._metrics.gauge("engine_report_age_s", round(now - at, 3), name)

    async def _follow(self, shard: Shard, endpoint: Endpoint) -> None:
        since: int | None = None
        epoch = ""
        while True:
            try:
                if since is None:
                    data = await self._call(endpoint, self._codec.cache_list_target)
                    updates = await self._decode(self._codec.decode_cache_list(data))
                else:
                    target = self._codec.cache_events_target(since)
                    data = await self._call(endpoint, target)
                    updates = await self._decode(self._codec.decode_cache_events(data))
            except (EndpointFailedError, TimeoutError) as error:
                self._metrics.count("memory_news_failures", type(error).__name__)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            first = updates[0]
            if not first.complete and (first.gap or first.epoch != epoch):
                since = None
                continue
            self._reported_at[endpoint.id] = asyncio.get_running_loop().time()
            for update in updates:
                self._placer.apply_cache_update(shard, endpoint.id, update)
                if len(updates) > 1:
                    await asyncio.sleep(0)
            since, epoch = first.next_sequence, first.epoch
            await asyncio.sleep(POLL_DELAY_S)

    async def _decode(self, updates: Iterator[CacheUpdate]) -> list[CacheUpdate]:
        """Return a complete report, decoded in steps, one report at a time."""
        async with self._decoding:
            decoded = [next(updates)]
            for update in updates:
                decoded.append(update)
                await asyncio.sleep(0)
            return decoded

    async def _call(self, endpoint: Endpoint, target: str) -> bytes:
        headers = ((self._codec.cache_wait_header, str(LONG_POLL_WAIT_MS)),)
        async with (
            asyncio.timeout(CALL_TIMEOUT_S),
            self._upstream.open(
                endpoint, "GET", target, headers, None, fresh=False
            ) as response,
        ):
            head = self._codec.decode_response_head(response.status, response.headers)
            if head.notice.leaving:
                self._notices.observe_leaving(endpoint)
            data = await read_bounded(response, MAX_RESPONSE_BYTES)
            if response.status != HTTP_OK:
                raise EndpointReplyMalformedError(
                    f"endpoint {endpoint.id!r} returned status {response.status}"
                )
            return data
