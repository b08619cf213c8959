"""Asks placement for endpoints on behalf of the requests of one instance."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable

from borageworks.events import Event, emit
from borageworks.exceptions import (
    EndpointUnavailableError,
    PlacementSilentError,
)
from borageworks.gateway.asked import Asked
from borageworks.gateway.directory import Directory
from borageworks.gateway.fleet import Fleet
from borageworks.gateway.organisation_tally import OrganisationTally
from borageworks.gateway.place_messages import (
    decode_work,
    encode_decision,
    encode_work,
    refusal_of,
)
from borageworks.metrics import Metrics
from borageworks.placement.decisions import Decision, Placed, RefusalReason, Refused
from borageworks.placement.dispatcher import Dispatcher
from borageworks.placement.memory_news import MemoryNews
from borageworks.placement.outcome import WorkOutcome
from borageworks.placement.reading_speed import ReadingSpeed
from borageworks.placement.settings import PlacementSettings
from borageworks.placement.shards import HomeShards, Shard
from borageworks.placement.work import Work, WorkKey
from borageworks.timers import Subscription, Timers
from borageworks.wire.messages import (
    Message,
    PlaceReply,
    PlaceRequest,
    PlaceState,
    PlaceWithdraw,
    WorkEnded,
    WorkRunning,
    WorkStarted,
)

TICK_S = 0.02
# Part of a request's aim in which the placing instance has to react, with bounds that
# leave time for a round trip between failure domains and for one late turn of its loop.
REACTION_RATIO = 0.1
REACTION_LEAST_S = 0.03
REACTION_MOST_S = 0.1
# Turns of the loop in which data that has arrived reaches its receiver.
READ_TURNS = 3
# A waiting request gets its decision this long after its time to wait has passed.
DECISION_MARGIN_S = 0.1


class Placer:
    """Asks placement for endpoints on behalf of the requests of one instance.

    The endpoints of a service form shards, and one instance places the requests of a
    shard. This instance asks it, and places for others the shards that it owns. When
    the owner does not react, it places alone with its part of the endpoints' room.

    Parameters
    ----------
    fleet
        Instances and messages to them.
    directory
        Deployment and endpoints in force.
    timers, metrics
        Services of the process.
    settings
        Settings of placement.
    """

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        timers: Timers,
        metrics: Metrics,
        settings: PlacementSettings,
    ) -> None:
        self._fleet = fleet
        self._instance = fleet.instance
        self._directory = directory
        self._timers = timers
        self._metrics = metrics
        self._settings = settings
        self._dispatchers: dict[Shard, Dispatcher] = {}
        self._homes: dict[str, HomeShards] = {}
        self._owners: dict[Shard, str] = {}
        self._asked: dict[int, Asked] = {}
        self._numbers = itertools.count(1)
        self._ticking: Subscription | None = None
        self._tallies: dict[Shard, OrganisationTally] = {}

    @property
    def dispatchers(self) -> dict[Shard, Dispatcher]:
        """Dispatcher by shard."""
        return self._dispatchers

    def owns(self, shard: Shard) -> bool:
        """Return whether this instance places the requests of a shard."""
        return self._owner(shard) == self._instance

    def new_key(self) -> WorkKey:
        """Return a key for a request of this instance."""
        return self._instance, next(self._numbers)

    async def place(self, service: str, request_id: str, work: Work) -> Placed:
        """Return where a request runs.

        Raises
        ------
        EndpointUnavailableError
            If no endpoint of the service is usable.
        CapacityExceededError
            If none can answer in time.
        """
        homes = self._homes.get(service)
        shard = service, homes.find(work.prompt, request_id) if homes else 0
        if shard not in self._dispatchers:
            raise EndpointUnavailableError(
                f"service {service!r} has no endpoint",
                retry_after=self._settings.retry_least_s,
            )
        owner = self._owner(shard)
        loop = asyncio.get_running_loop()
        asked = Asked(shard, work, owner, loop.create_future(), asyncio.Event())
        self._asked[work.key[1]] = asked
        try:
            if owner != self._instance:
                try:
                    return await self._ask_owner(asked)
                except PlacementSilentError as error:
                    self._note_silence(asked, error)
            asked.owner = self._instance
            self._submit(shard, work)
            return await asked.future
        except BaseException as error:
            self._asked.pop(work.key[1], None)
            if asked.future.done() and not asked.future.cancelled():
                # A decision that came too late to be awaited is no lost error.
                asked.future.exception()
            if isinstance(error, asyncio.CancelledError):
                self._withdraw(asked)
            raise

    def started(self, key: WorkKey) -> None:
        """Note the first sign of an answer."""
        asked = self._asked.get(key[1])
        if asked is None or asked.started:
            return
        asked.started = True
        if asked.owner == self._instance:
            self._start(asked.shard, key)
        else:
            self._fleet.send(asked.owner, WorkStarted(key[1]))

    def ended(self, key: WorkKey, outcome: WorkOutcome) -> None:
        """Note the end of a placed request."""
        asked = self._asked.pop(key[1], None)
        if asked is None:
            return
        if asked.owner == self._instance:
            self._end(asked.shard, key, outcome)
        else:
            self._fleet.send(asked.owner, WorkEnded(key[1], int(outcome)))

    def learn(self, shard: Shard, endpoint: str, news: MemoryNews) -> None:
        """Take an engine's news about its memory."""
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            dispatcher.learn(endpoint, news)

    def update(self) -> None:
        """Take the present deployment, endpoints and instances."""
        deployment = self._directory.deployment
        if deployment is None:
            return
        now = self._timers.now()
        wanted: set[Shard] = set()
        for name, profile in deployment.services.items():
            endpoints = self._directory.of_service(name)
            if not endpoints and name not in self._homes:
                continue
            homes = self._homes.get(name)
            ids = tuple(sorted(endpoint.id for endpoint in endpoints))
            if homes is None or homes.endpoints != ids:
                homes = self._homes[name] = HomeShards(ids)
            for number in range(homes.count):
                shard = name, number
                wanted.add(shard)
                dispatcher = self._dispatchers.get(shard)
                if dispatcher is None:
                    dispatcher = Dispatcher(profile, self._settings, self._fleet.domain)
                    if profile.engine is not None and deployment.tokens_per_s:
                        # Learned speed outweighs the operator's figure soon.
                        dispatcher.set_throughput(
                            deployment.tokens_per_s / max(len(endpoints), 1)
                        )
                    self._dispatchers[shard] = dispatcher
                self._decide(
                    dispatcher.set_endpoints(
                        now,
                        [
                            endpoint
                            for endpoint in endpoints
                            if homes.of_endpoint[endpoint.id] == number
                        ],
                    )
                )
        for shard in set(self._dispatchers) - wanted:
            if not self._dispatchers[shard].waiting:
                del self._dispatchers[shard]
        self.review_owners()

    def report(self) -> None:
        """Log what organisations asked for and were refused since the last time."""
        for (service, number), tally in self._tallies.items():
            tally.report(service=service, shard=number)

    def review_owners(self) -> None:
        """Move running requests to owners that have changed."""
        for shard in self._dispatchers:
            self._owner(shard)

    def receive(self, instance: str, message: Message) -> None:
        """Take a message from another instance."""
        now = self._timers.now()
        match message:
            case PlaceRequest():
                self._serve_request(instance, message)
            case PlaceReply():
                self._take_reply(instance, message)
            case PlaceWithdraw(number=number):
                for dispatcher in self._dispatchers.values():
                    self._decide(dispatcher.withdraw(now, (instance, number)))
            case WorkStarted(number=number):
                for dispatcher in self._dispatchers.values():
                    self._decide(dispatcher.start(now, (instance, number)))
            case WorkEnded(number=number, outcome=code):
                for dispatcher in self._dispatchers.values():
                    self._decide(
                        dispatcher.end(now, (instance, number), WorkOutcome(code))
                    )
            case WorkRunning(request=request, endpoint=endpoint, started=started):
                self._adopt(instance, request, endpoint, started)
            case _:
                self._metrics.count("peer_messages_unused", type(message).__name__)

    def instance_lost(self, instance: str) -> None:
        """Forget the requests of a lost instance and stop waiting for its decisions."""
        now = self._timers.now()
        for dispatcher in self._dispatchers.values():
            self._decide(dispatcher.drop_instance(now, instance))
        for asked in list(self._asked.values()):
            if asked.owner == instance and not asked.future.done():
                asked.future.set_exception(PlacementSilentError(f"{instance} is lost"))
                asked.acknowledged.set()
        self.review_owners()

    async def _ask_owner(self, asked: Asked) -> Placed:
        work = asked.work
        request = encode_work(asked.shard, work)
        if not self._fleet.send(asked.owner, request):
            raise PlacementSilentError(f"no path to {asked.owner}")
        reaction = min(
            max(REACTION_RATIO * work.aim_s, REACTION_LEAST_S), REACTION_MOST_S
        )
        try:
            async with asyncio.timeout(reaction):
                await asked.acknowledged.wait()
        except TimeoutError as error:
            # When this loop was late itself, the reply may be there already.
            for _ in range(READ_TURNS):
                await asyncio.sleep(0)
            if not asked.acknowledged.is_set():
                raise PlacementSilentError(f"no reaction of {asked.owner}") from error
        limit = max(work.patience_s, work.aim_s, 0.0) + DECISION_MARGIN_S
        try:
            async with asyncio.timeout(limit):
                return await asked.future
        except TimeoutError as error:
            raise PlacementSilentError(f"no decision of {asked.owner}") from error

    def _note_silence(self, asked: Asked, error: PlacementSilentError) -> None:
        self._metrics.count("placements_alone")
        emit(
            Event.PLACED_ALONE,
            owner=asked.owner,
            service=asked.shard[0],
            reason=str(error),
        )
        self._fleet.send(asked.owner, PlaceWithdraw(asked.work.key[1]))
        self._fleet.note_silence(asked.owner)
        asked.future = asyncio.get_running_loop().create_future()
        asked.acknowledged.clear()
        # Not under the name of the request's former owner, whose late reply is void.
        asked.owner = self._instance
        self.review_owners()

    def _submit(self, shard: Shard, work: Work) -> None:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None:
            self._decide([Refused(work.key, RefusalReason.NO_ENDPOINT, 0.2)])
            return
        dispatcher.set_share(1.0 if self.owns(shard) else 1.0 / self._fleet.count)
        self._tally(shard).ask(work.organisation, work.units)
        self._decide(self._count(shard, dispatcher.submit(self._timers.now(), work)))
        self._keep_ticking()

    def _withdraw(self, asked: Asked) -> None:
        key = asked.work.key
        if asked.owner != self._instance:
            self._fleet.send(asked.owner, PlaceWithdraw(key[1]))
            return
        dispatcher = self._dispatchers.get(asked.shard)
        if dispatcher is not None:
            self._decide(dispatcher.withdraw(self._timers.now(), key))

    def _start(self, shard: Shard, key: WorkKey) -> None:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            self._decide(dispatcher.start(self._timers.now(), key))

    def _end(self, shard: Shard, key: WorkKey, outcome: WorkOutcome) -> None:
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None:
            self._decide(dispatcher.end(self._timers.now(), key, outcome))

    def _serve_request(self, instance: str, request: PlaceRequest) -> None:
        shard = request.service, request.shard
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None:
            self._fleet.send(
                instance,
                PlaceReply(
                    request.number,
                    PlaceState.REFUSED,
                    reason=int(RefusalReason.NO_ENDPOINT),
                    retry_after_s=self._settings.retry_least_s,
                ),
            )
            return
        work = decode_work(instance, request)
        dispatcher.set_share(1.0)
        self._tally(shard).ask(work.organisation, work.units)
        decisions = self._count(shard, dispatcher.submit(self._timers.now(), work))
        self._decide(decisions, dispatcher.speed)
        if all(decision.key != work.key for decision in decisions):
            self._fleet.send(instance, PlaceReply(request.number, PlaceState.WAITING))
            self._keep_ticking()

    def _adopt(
        self, instance: str, request: PlaceRequest, endpoint: str, started: bool
    ) -> None:
        dispatcher = self._dispatchers.get((request.service, request.shard))
        if dispatcher is None:
            return
        work = decode_work(instance, request)
        dispatcher.adopt(self._timers.now(), work, endpoint, started)

    def _take_reply(self, instance: str, reply: PlaceReply) -> None:
        asked = self._asked.get(reply.number)
        if asked is None or asked.owner != instance or asked.future.done():
            if reply.state is PlaceState.PLACED and (
                asked is None or asked.owner != instance
            ):
                self._fleet.send(instance, PlaceWithdraw(reply.number))
            return
        asked.acknowledged.set()
        key = asked.work.key
        match reply.state:
            case PlaceState.PLACED:
                dispatcher = self._dispatchers.get(asked.shard)
                if dispatcher is not None and reply.seconds_per_token > 0.0:
                    dispatcher.speed.adopt(reply.seconds_per_token, reply.start_s)
                self._resolve(
                    Placed(key, reply.endpoint, reply.unread_tokens, instance)
                )
            case PlaceState.REFUSED:
                reason = RefusalReason(reply.reason)
                self._resolve(Refused(key, reason, reply.retry_after_s))
            case PlaceState.WAITING:
                return

    def _owner(self, shard: Shard) -> str:
        owner = self._fleet.owner(f"{shard[0]}/{shard[1]}")
        known = self._owners.get(shard)
        if known != owner:
            self._owners[shard] = owner
            if known is not None:
                emit(
                    Event.PLACEMENT_MOVED,
                    service=shard[0],
                    shard=shard[1],
                    owner=owner,
                    previous=known,
                )
            self._advertise(shard, owner)
        return owner

    def _advertise(self, shard: Shard, owner: str) -> None:
        """Tell a new owner of the requests that run on its endpoints."""
        for asked in self._asked.values():
            if asked.shard != shard or asked.endpoint is None or asked.owner == owner:
                continue
            request = encode_work(shard, asked.work)
            if owner == self._instance:
                self._adopt(owner, request, asked.endpoint, asked.started)
            else:
                self._fleet.send(
                    owner, WorkRunning(request, asked.endpoint, asked.started)
                )
            asked.owner = owner

    def _decide(
        self, decisions: Iterable[Decision], speed: ReadingSpeed | None = None
    ) -> None:
        for decision in decisions:
            if decision.key[0] == self._instance:
                self._resolve(decision)
            else:
                self._fleet.send(decision.key[0], encode_decision(decision, speed))

    def _tally(self, shard: Shard) -> OrganisationTally:
        tally = self._tallies.get(shard)
        if tally is None:
            tally = self._tallies[shard] = OrganisationTally("placement", "tokens")
        return tally

    def _count(self, shard: Shard, decisions: list[Decision]) -> list[Decision]:
        """Count refusals by organisation."""
        for decision in decisions:
            if isinstance(decision, Refused) and decision.work is not None:
                work = decision.work
                self._tally(shard).refuse(work.organisation, work.units)
        return decisions

    def _resolve(self, decision: Decision) -> None:
        asked = self._asked.get(decision.key[1])
        if asked is None or asked.future.done():
            return
        match decision:
            case Placed():
                asked.endpoint = decision.endpoint
                asked.future.set_result(decision)
            case Refused():
                asked.future.set_exception(refusal_of(decision))

    def _keep_ticking(self) -> None:
        if self._ticking is None and any(
            dispatcher.waiting for dispatcher in self._dispatchers.values()
        ):
            self._ticking = self._timers.every(TICK_S, self._tick)

    def _tick(self, now: float) -> None:
        waiting = 0
        for shard, dispatcher in list(self._dispatchers.items()):
            if dispatcher.waiting:
                self._decide(self._count(shard, dispatcher.tick(now)))
                waiting += dispatcher.waiting
        if not waiting and self._ticking is not None:
            self._ticking.cancel()
            self._ticking = None
