"""Division of a service's endpoints into shards with one placing instance each."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.gateway.caller_request import Prompt
from borageworks.routing.rendezvous import rendezvous

# Few enough for one core to place their requests; load and fairness between
# organisations are even only within a shard.
ENDPOINTS_PER_SHARD = 128
# Shared parts whose shard is cached, since hashing over all endpoints is slow.
MAX_CACHED_PARTS = 4096

# Service, and number of the shard.
Shard = tuple[str, int]


def shard_count(endpoints: int) -> int:
    """Return the number of shards for a number of endpoints."""
    return max(1, -(-endpoints // ENDPOINTS_PER_SHARD))


def shard_of_endpoint(endpoint: str, shards: int) -> int:
    """Return the shard of an endpoint; few endpoints move if `shards` changes."""
    if shards == 1:
        return 0
    selected = rendezvous(endpoint, [str(shard) for shard in range(shards)])
    return int(selected or 0)


class ServiceShards:
    """Shards of a service's endpoints, and the shard that each request belongs to.

    Parameters
    ----------
    endpoints
        Ids of all endpoints of the service.
    """

    def __init__(self, endpoints: tuple[str, ...]) -> None:
        self.endpoints = endpoints
        self.count = shard_count(len(endpoints))
        self.of_endpoint = {
            endpoint: shard_of_endpoint(endpoint, self.count) for endpoint in endpoints
        }
        self._shard_by_part: OrderedDict[str, int] = OrderedDict()

    def find(self, prompt: Prompt | None, request_id: str) -> int:
        """Return the shard that a request belongs to.

        Prompts that differ only in their last part, the request's own, belong to one
        shard. The first part as key would not spread them, since many prompts begin
        alike. A shard gets requests in proportion to its endpoints, since the key
        selects an endpoint first.
        """
        if self.count == 1:
            return 0
        if prompt is None or len(prompt.parts) < 2:
            return self._select(request_id)
        part = prompt.parts[-2].id
        shard = self._shard_by_part.get(part)
        if shard is None:
            shard = self._shard_by_part[part] = self._select(part)
            if len(self._shard_by_part) > MAX_CACHED_PARTS:
                self._shard_by_part.popitem(last=False)
        return shard

    def _select(self, key: str) -> int:
        return self.of_endpoint[rendezvous(key, self.endpoints) or ""]
