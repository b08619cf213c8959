"""Requests that wait for an endpoint, in fair order of their organisations."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field

from borageworks.placement.recent_service import RecentService
from borageworks.placement.work import Work, WorkKey


@dataclass(slots=True)
class WaitingWork:
    """A request that waits for an endpoint.

    Parameters
    ----------
    work
        The request.
    arrived_at, expires_at
        Times at which it began to wait, and after which it is refused.
    preferred
        Endpoint that it waits for, None if it has to be selected.
    selected_at
        Time at which `preferred` was selected.
    tokens
        Prompt tokens that only this request uses.
    has_priority
        Whether it comes before others that have not, as its organisation is below its
        share. Without a preferred endpoint, the first one that has room takes it.
    is_owed
        Whether it comes before all that are not, as its organisation is owed all that
        it requests.
    units
        Charge of the request.
    """

    work: Work
    arrived_at: float
    expires_at: float
    preferred: str | None
    selected_at: float
    tokens: int
    has_priority: bool = False
    is_owed: bool = False
    units: float = field(init=False)

    def __post_init__(self) -> None:
        """Compute the charge once, as each decision about others needs it."""
        self.units = self.work.units

    @property
    def uses_any_endpoint(self) -> bool:
        """Whether the first endpoint that has room takes it."""
        return self.has_priority and self.preferred is None


class WaitingQueue:
    """Requests that wait for an endpoint, in fair order of their organisations.

    The organisation that got least lately is served first, each one's requests in order
    of arrival. Not every request fits the endpoint that is free, so the caller chooses
    among them and charges what it has placed.

    A virtual time would be no measure of this: one request that waits for a certain
    endpoint holds up that of the pool, so that all who are served meanwhile get into
    debt.

    Parameters
    ----------
    window_s
        Time constant in seconds over which service counts.
    """

    def __init__(self, window_s: float) -> None:
        self._items: dict[WorkKey, WaitingWork] = {}
        self._queues: dict[str, dict[WorkKey, WaitingWork]] = {}
        self._recent = RecentService(window_s)
        self._counts: dict[str, int] = {}
        # Those of them that go on with a stream, so that few endpoints may run them.
        self._bound_counts: dict[str, int] = {}
        self._units: dict[str, float] = {}
        self._endpoint_tokens: dict[str, float] = {}
        self._endpoint_requests: dict[str, int] = {}

    @property
    def endpoint_tokens(self) -> Mapping[str, float]:
        """Prompt tokens of the requests that prefer an endpoint, by its id."""
        return self._endpoint_tokens

    @property
    def endpoint_requests(self) -> Mapping[str, int]:
        """Number of the requests that prefer an endpoint, by its id."""
        return self._endpoint_requests

    @property
    def keys(self) -> Set[WorkKey]:
        """Keys of the requests."""
        return self._items.keys()

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of requests by organisation."""
        return self._counts

    @property
    def units(self) -> Mapping[str, float]:
        """Charge of the requests by organisation."""
        return self._units

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._items)

    def __contains__(self, key: WorkKey) -> bool:
        """Return whether a request waits."""
        return key in self._items

    def __iter__(self) -> Iterator[WaitingWork]:
        """Yield the requests in order of arrival."""
        return iter(self._items.values())

    def add(self, item: WaitingWork) -> None:
        """Add a request."""
        self._items[item.work.key] = item
        self._queues.setdefault(item.work.organisation, {})[item.work.key] = item
        self._count(item, 1)

    def remove(self, key: WorkKey) -> WaitingWork | None:
        """Remove and return a request, None if it does not wait."""
        item = self._items.pop(key, None)
        if item is not None:
            queue = self._queues[item.work.organisation]
            del queue[key]
            if not queue:
                del self._queues[item.work.organisation]
            self._count(item, -1)
        return item

    def prefer(self, item: WaitingWork, endpoint: str | None) -> None:
        """Let a request wait for another endpoint."""
        self._count_at_endpoint(item, -1)
        item.preferred = endpoint
        self._count_at_endpoint(item, 1)

    def forget_endpoint(self, endpoint: str) -> None:
        """Let no request wait for an endpoint that is gone."""
        self._endpoint_tokens.pop(endpoint, None)
        self._endpoint_requests.pop(endpoint, None)
        for item in self._items.values():
            if item.preferred == endpoint:
                item.preferred = None

    def charge(self, now: float, organisation: str, units: float) -> None:
        """Charge an organisation for a request that is placed."""
        self._recent.add(now, organisation, units)

    def take_back(self, organisation: str, units: float, placed_at: float) -> None:
        """Take back the charge of a request that was placed and did not begin."""
        self._recent.take_back(organisation, units, placed_at)

    def recent_service(self, now: float, organisation: str) -> float:
        """Return what an organisation got lately."""
        return self._recent.amount(now, organisation)

    def leads(self, now: float, count: int) -> dict[str, float]:
        """Return the organisations that got most lately, which are served last."""
        return self._recent.largest(now, count)

    def is_behind_others(self, now: float, work: Work) -> bool:
        """Return whether waiting requests come before a new one in fair order."""
        if not self._items:
            return False
        got = self._recent.amount(now, work.organisation)
        if work.software_version is not None:
            # Such requests compete for the endpoints of their version only.
            return any(
                item.work.software_version == work.software_version
                and self._recent.amount(now, item.work.organisation) <= got
                for item in self._items.values()
            )
        return any(
            self._recent.amount(now, name) <= got
            for name, count in self._counts.items()
            if count > self._bound_counts.get(name, 0)
        )

    def ahead_of(self, now: float, work: Work) -> list[WaitingWork]:
        """Return the requests that come before a new one in fair order."""
        # It follows those of its organisation that wait already.
        own_tag = self._recent.amount(now, work.organisation)
        own_tag += self._units.get(work.organisation, 0.0)
        ahead: list[WaitingWork] = []
        for organisation, queue in self._queues.items():
            tag = self._recent.amount(now, organisation)
            for item in queue.values():
                if tag > own_tag:
                    break
                ahead.append(item)
                tag += item.units
        return ahead

    def in_order(self, now: float, items: Iterable[WaitingWork]) -> list[WaitingWork]:
        """Return some requests in the order in which they are served.

        Those that are owed come first, then those with priority. The requests of an
        organisation follow each other by their charges. Requests that are owed and have
        priority fit the capacity together, so the one that expires first is next.
        """
        next_tags: dict[str, float] = {}
        keys: list[tuple[bool, bool, float, float, int]] = []
        listed = list(items)
        for index, item in enumerate(listed):
            organisation = item.work.organisation
            tag = next_tags.get(organisation)
            if tag is None:
                tag = self._recent.amount(now, organisation)
            next_tags[organisation] = tag + item.units
            keys.append(
                (
                    not item.is_owed,
                    not item.has_priority,
                    item.expires_at if item.is_owed and item.has_priority else tag,
                    item.arrived_at,
                    index,
                )
            )
        return [listed[key[-1]] for key in sorted(keys)]

    def _count(self, item: WaitingWork, change: int) -> None:
        organisation = item.work.organisation
        count = self._counts.get(organisation, 0) + change
        units = self._units.get(organisation, 0.0) + change * item.units
        if count:
            self._counts[organisation] = count
            self._units[organisation] = units
        else:
            self._counts.pop(organisation, None)
            self._units.pop(organisation, None)
        if item.work.software_version is not None:
            bound = self._bound_counts.get(organisation, 0) + change
            self._bound_counts[organisation] = bound
            if not bound:
                del self._bound_counts[organisation]
        self._count_at_endpoint(item, change)

    def _count_at_endpoint(self, item: WaitingWork, change: int) -> None:
        name = item.preferred
        if name is None:
            return
        tokens = self._endpoint_tokens.get(name, 0.0) + change * item.tokens
        self._endpoint_tokens[name] = max(tokens, 0.0)
        requests = self._endpoint_requests.get(name, 0) + change
        self._endpoint_requests[name] = max(requests, 0)
