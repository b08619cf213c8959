"""Follows what the model engines keep in memory."""

from __future__ import annotations

import asyncio

from borageworks.endpoints.limits import read_bounded
from borageworks.exceptions import EndpointFailedError, EndpointReplyMalformedError
from borageworks.gateway.codec import Codec
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.placer import Placer
from borageworks.gateway.upstream import Upstream
from borageworks.metrics import Metrics
from borageworks.placement.shards import Shard

# An engine answers at once when it has news; the pause bounds the calls under load.
PAUSE_S = 0.4
WAIT_MS = 1000
CALL_TIMEOUT_S = 1.6
RETRY_S = 0.5
# Several times the list of an engine whose whole memory is kept parts.
MAX_NEWS_BYTES = 4 * 1_048_576
OK = 200


class MemoryFollower:
    """Follows what the model engines keep in memory.

    Parameters
    ----------
    codec, placer, upstream, metrics
        Parts of the gateway.
    """

    def __init__(
        self, codec: Codec, placer: Placer, upstream: Upstream, metrics: Metrics
    ) -> None:
        self._codec = codec
        self._placer = placer
        self._upstream = upstream
        self._metrics = metrics
        self._tasks: dict[tuple[Shard, str], asyncio.Task[None]] = {}
        self._told_at: dict[str, float] = {}
        metrics.before_render(self._show_ages)

    def update(self) -> None:
        """Follow the engines that this instance places requests on."""
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
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _show_ages(self) -> None:
        now = asyncio.get_running_loop().time()
        followed = {
            state.endpoint.id
            for (shard, _) in self._tasks
            for state in self._placer.dispatchers[shard].endpoints.values()
        }
        self._told_at = {
            name: at for name, at in self._told_at.items() if name in followed
        }
        self._metrics.forget_gauges("engine_report_age_s")
        for name, at in self._told_at.items():
            self._metrics.gauge("engine_report_age_s", round(now - at, 3), name)

    async def _follow(self, shard: Shard, endpoint: Endpoint) -> None:
        since: int | None = None
        epoch = ""
        while True:
            try:
                if since is None:
                    data = await self._call(endpoint, self._codec.memory_list_target)
                    news = self._codec.memory_list(data)
                else:
                    target = self._codec.memory_events_target(since)
                    data = await self._call(endpoint, target)
                    news = self._codec.memory_events(data)
            except (EndpointFailedError, TimeoutError) as error:
                self._metrics.count("memory_news_failures", type(error).__name__)
                await asyncio.sleep(RETRY_S)
                continue
            if not news.whole and (news.gap or news.epoch != epoch):
                since = None
                continue
            self._told_at[endpoint.id] = asyncio.get_running_loop().time()
            self._placer.learn(shard, endpoint.id, news)
            since, epoch = news.next, news.epoch
            await asyncio.sleep(PAUSE_S)

    async def _call(self, endpoint: Endpoint, target: str) -> bytes:
        headers = ((self._codec.memory_wait_header, str(WAIT_MS)),)
        async with (
            asyncio.timeout(CALL_TIMEOUT_S),
            self._upstream.open(
                endpoint, "GET", target, headers, None, fresh=False
            ) as response,
        ):
            data = await read_bounded(response, MAX_NEWS_BYTES)
            if response.status != OK:
                raise EndpointReplyMalformedError(
                    f"endpoint {endpoint.id!r}: status {response.status}"
                )
            return data
