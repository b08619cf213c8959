"""Division of a service's endpoints into groups that one instance each places on."""

from __future__ import annotations

from collections import OrderedDict

from borageworks.gateway.caller_request import Prompt
from borageworks.routing.rendezvous import rendezvous

# One instance compares this many endpoints for a request in well under a millisecond,
# and its group is large enough for load to even out inside it.
ENDPOINTS_PER_SHARD = 16


# Shared parts whose group is remembered; the hash over all endpoints takes a while.
REMEMBERED_PARTS = 4096

# Service, and number of the group.
Shard = tuple[str, int]


def shard_count(endpoints: int) -> int:
    """Return the number of groups for a number of endpoints."""
    return max(1, -(-endpoints // ENDPOINTS_PER_SHARD))


def shard_of_endpoint(endpoint: str, shards: int) -> int:
    """Return the group of an endpoint; few change group when their number does."""
    if shards == 1:
        return 0
    best = rendezvous(endpoint, [str(shard) for shard in range(shards)])
    return int(best or 0)


class HomeShards:
    """Groups of a service's endpoints, and the group that each request belongs to.

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
        self._of_part: OrderedDict[str, int] = OrderedDict()

    def find(self, prompt: Prompt | None, request_id: str) -> int:
        """Return the group that a request belongs to.

        Requests that share all of their prompt but their own last part share a group.
        The first part alone would not spread them: many prompts begin alike. A group
        gets requests in proportion to its endpoints, since the key selects an endpoint
        first.
        """
        if self.count == 1:
            return 0
        if prompt is None or len(prompt.parts) < 2:
            return self._select(request_id)
        part = prompt.parts[-2].id
        known = self._of_part.get(part)
        if known is None:
            known = self._of_part[part] = self._select(part)
            if len(self._of_part) > REMEMBERED_PARTS:
                self._of_part.popitem(last=False)
        return known

    def _select(self, key: str) -> int:
        return self.of_endpoint[rendezvous(key, self.endpoints) or ""]
