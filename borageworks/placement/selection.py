"""Selects the endpoint that a request costs least at."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Mapping

import xxhash

from borageworks.placement.endpoint_state import EndpointState
from borageworks.placement.part_index import PartIndex
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.work import Work, own_prompt_tokens

# Up to this number, all endpoints are compared for each request.
MAX_COMPARED_ENDPOINTS = 16
# Compared for a request if there are more endpoints: so many of the least loaded ones,
# and of those that have cached the shared part.
CANDIDATES = 8
# The order by load is renewed when it is older, or when this many requests were placed
# since: each of them makes one of the least loaded endpoints busier.
MAX_ORDER_AGE_S = 0.005
MAX_ORDER_PLACEMENTS = CANDIDATES // 2

# Weight of prefill at engines without a rate limit while others of the service have it:
# they get the requests that the others do not take.
SCARCE_PREFILL_WEIGHT = 2.0

# Factor of the weight of recomputation beside other instances: they see each other's
# backlog late, and what one prefills again delays all.
BESIDE_RECOMPUTE_RATIO = 8.0

# Longest time at a rate limit that counts as a cost: beyond it a request would miss its
# target latency wherever it waits.
MAX_LIMIT_TIME_S = 0.5


class EndpointSelector:
    """Selects the endpoint that a request costs least at.

    Comparing all endpoints takes too long where a service has many of them. Only two
    groups can be the cheapest: the least loaded endpoints, and the least loaded of
    those that have cached the parts which the request shares with others.

    Parameters
    ----------
    endpoints
        State by endpoint id.
    waiting_tokens, waiting_requests
        Prompt tokens and number of the waiting requests that prefer an endpoint, by
        its id.
    index
        Index of the parts that the endpoints have cached.
    settings
        Settings of placement.
    domain, instance
        Failure domain of the instance, and its id.
    """

    def __init__(
        self,
        endpoints: Mapping[str, EndpointState],
        waiting_tokens: Mapping[str, float],
        waiting_requests: Mapping[str, int],
        index: PartIndex,
        settings: PlacementSettings,
        domain: str,
        instance: str = "",
    ) -> None:
        self._endpoints = endpoints
        self._waiting_tokens = waiting_tokens
        self._waiting_requests = waiting_requests
        self._index = index
        self._settings = settings
        self._domain = domain
        self._any_limited = False
        self._order: list[str] = []
        self._ordered_at = -math.inf
        self._placements = 0
        self._instance = instance
        self._spread_s = 0.0
        self._recompute_weight = settings.recompute_weight
        self._uses_loads = False
        self._offsets: dict[str, float] = {}

    def use_loads(self) -> None:
        """Use the loads that endpoints report, and their lasting speeds."""
        self._uses_loads = True

    def set_spread(self, spread_s: float) -> None:
        """Set the largest cost by which choices of this instance differ from others'.

        Instances that place at the same time would otherwise all choose the endpoint
        that the last reports show as the least loaded.
        """
        self._spread_s = spread_s
        self._recompute_weight = self._settings.recompute_weight
        if spread_s:
            self._recompute_weight *= BESIDE_RECOMPUTE_RATIO

    def _offset_s(self, state: EndpointState) -> float:
        """Return the cost that differs by instance."""
        name = state.endpoint.id
        offset = self._offsets.get(name)
        if offset is None:
            digest = xxhash.xxh3_64_intdigest(f"{self._instance}/{name}".encode())
            offset = self._offsets[name] = digest / 2.0**64
        return offset * self._spread_s

    def invalidate(self) -> None:
        """Discard the order by load, after a change of endpoints or their limits."""
        self._ordered_at = -math.inf
        self._any_limited = any(
            state.rate_limit is not None for state in self._endpoints.values()
        )

    def record_placement(self) -> None:
        """Record that an endpoint has become busier."""
        self._placements += 1

    def select(self, now: float, work: Work, seconds_per_token: float) -> str | None:
        """Return the endpoint with the lowest cost, None if none is usable.

        Parameters
        ----------
        now
            Time in seconds.
        work
            The request.
        seconds_per_token
            Prefill time of a token at an engine that is not slow.
        """
        best: str | None = None
        min_cost_s = math.inf
        for name in self._candidates(now, work, seconds_per_token):
            state = self._endpoints[name]
            if not work.may_run_at(state.endpoint) or not state.usable(now):
                continue
            if state.is_paused(now, work.key[0]):
                continue
            cost_s = self.cost_s(now, state, work, seconds_per_token)
            if best is None or cost_s < min_cost_s:
                best, min_cost_s = name, cost_s
        return best

    def cost_s(
        self, now: float, state: EndpointState, work: Work, seconds_per_token: float
    ) -> float:
        """Return the cost of a placement to this request and to others, in seconds.

        Parameters
        ----------
        now, state, work
            Time, endpoint and request.
        seconds_per_token
            Prefill time of a token at an engine that is not slow.
        """
        settings = self._settings
        # A request waits for a free slot as it does for the prefill of others.
        running: float = len(state.running)
        if state.load.unknown:
            running += state.load.unknown_requests(now)
        occupancy = running / state.endpoint.slots
        cost_s = settings.failure_penalty_s * state.failure_rate
        if state.endpoint.domain != self._domain:
            cost_s += settings.domain_penalty_s
        limit_wait_s = self._limit_wait_s(now, state)
        if work.prompt is None:
            # Without a token an endpoint is as full as one without a free slot.
            occupancy = max(occupancy, float(limit_wait_s > 0.0))
            if self._uses_loads:
                # The request takes a slot for longer where work takes longer.
                occupancy += 1.0 / state.endpoint.slots
                occupancy *= state.load.pace(now)
            if self._spread_s:
                cost_s += self._offset_s(state)
            return cost_s + occupancy + limit_wait_s
        usual_s = seconds_per_token
        seconds_per_token *= state.slowdown(now)
        uncached = work.prompt.tokens - state.cache.cached_tokens(work.prompt)
        recomputed = max(uncached - own_prompt_tokens(work), 0)
        prefill_weight = 1.0
        if state.rate_limit is not None:
            # A limited engine takes the same part of its limit for each request, so the
            # larger ones are worth most there.
            limit_wait_s += min(1.0 / state.rate_limit.rate_per_s, MAX_LIMIT_TIME_S)
        elif self._any_limited:
            prefill_weight = SCARCE_PREFILL_WEIGHT
        ahead = state.backlog_tokens(now, seconds_per_token)
        ahead += self._waiting_tokens.get(state.endpoint.id, 0.0)
        tokens = ahead + prefill_weight * uncached
        again = self._recompute_weight * recomputed
        if self._uses_loads:
            # A part that is prefilled again evicts another one, which costs as much at
            # any engine.
            prefill_s = seconds_per_token * tokens + usual_s * again
        else:
            prefill_s = seconds_per_token * (tokens + again)
        if self._spread_s:
            cost_s += self._offset_s(state)
        return cost_s + prefill_s + occupancy * settings.prefill_ahead_s + limit_wait_s

    def _limit_wait_s(self, now: float, state: EndpointState) -> float:
        """Return the time until an endpoint's rate limit allows another request."""
        if state.rate_limit is None:
            return 0.0
        ahead = self._waiting_requests.get(state.endpoint.id, 0)
        return state.rate_limit.wait_s(now, ahead)

    def _candidates(
        self, now: float, work: Work, seconds_per_token: float
    ) -> Iterable[str]:
        if len(self._endpoints) <= MAX_COMPARED_ENDPOINTS or work.prompt is None:
            return self._endpoints
        if (
            now - self._ordered_at > MAX_ORDER_AGE_S
            or self._placements >= MAX_ORDER_PLACEMENTS
        ):
            self._renew_order(now, seconds_per_token)
        usable = [
            name
            for name in self._order
            if work.may_run_at(self._endpoints[name].endpoint)
        ]
        candidates = dict.fromkeys(usable[:CANDIDATES])
        parts = work.prompt.parts
        # The last part may be that of a session, which an engine has cached as well.
        for part in parts[-2:]:
            holders = self._index.holders((work.prompt.model, part.id))
            if holders:
                cached = (name for name in usable if name in holders)
                candidates.update(dict.fromkeys(itertools.islice(cached, CANDIDATES)))
        return candidates

    def _renew_order(self, now: float, seconds_per_token: float) -> None:
        loads = {
            name: self._load_s(now, state, seconds_per_token)
            for name, state in self._endpoints.items()
            if state.usable(now)
        }
        self._order = sorted(loads, key=loads.__getitem__)
        self._ordered_at = now
        self._placements = 0

    def _load_s(
        self, now: float, state: EndpointState, seconds_per_token: float
    ) -> float:
        """Return the part of an endpoint's cost that is the same for all requests."""
        settings = self._settings
        load_s = settings.failure_penalty_s * state.failure_rate
        running: float = len(state.running)
        if state.load.unknown:
            running += state.load.unknown_requests(now)
        load_s += running / state.endpoint.slots * settings.prefill_ahead_s
        if self._spread_s:
            load_s += self._offset_s(state)
        load_s += self._limit_wait_s(now, state)
        if state.endpoint.domain != self._domain:
            load_s += settings.domain_penalty_s
        seconds_per_token *= state.slowdown(now)
        ahead = state.backlog_tokens(now, seconds_per_token)
        ahead += self._waiting_tokens.get(state.endpoint.id, 0.0)
        return load_s + seconds_per_token * ahead
