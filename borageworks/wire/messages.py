"""Messages between instances.

All messages are defined in one module, since receivers match on the complete set.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Outcome(IntEnum):
    """How a granted request ended."""

    UNUSED = 0
    COMPLETED = 1
    REFUSED = 2
    UNREACHABLE = 3
    CRASHED = 4
    TIMED_OUT = 5
    CANCELLED = 6
    MALFORMED = 7


class ClaimOutcome(IntEnum):
    """Result of a claim, decided by the writer of its shard."""

    CLAIMED = 0
    DUPLICATE = 1
    BODY_MISMATCH = 2
    EXPIRED = 3
    UNAVAILABLE = 4


class ClaimState(IntEnum):
    """State of a claimed request."""

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2
    RELEASED = 3


class HeldAnswer(IntEnum):
    """Whether the holder of a claim has the response of the claimed request."""

    GONE = 0
    RUNNING = 1
    HELD = 2


class MemberState(IntEnum):
    """Membership state; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link, in both directions."""

    instance: str
    incarnation: int
    domain: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Demand:
    """Number of requests of an organisation that wait at the sender."""

    pool: str
    organisation: str
    waiting: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot of an endpoint for one request of one organisation.

    A standing slot may be retained after the request and reused for other requests of
    the pool, without a message for each, until it is recalled or idle.
    """

    grant_id: int
    endpoint: str
    pool: str
    organisation: str
    standing: bool = False


@dataclass(frozen=True, slots=True)
class Release:
    """End of a request that used a grant.

    `units` are service units; `first_token` and `token_interval` are seconds, 0.0 when
    not measured. `fingerprint` identifies the request if the endpoint seems to have
    crashed, else it is empty. With `keep` the sender retains the standing slot.
    """

    grant_id: int
    outcome: Outcome
    units: float
    first_token: float = 0.0
    token_interval: float = 0.0
    fingerprint: bytes = b""
    keep: bool = False


@dataclass(frozen=True, slots=True)
class Recall:
    """Asks to return the standing slots of a pool, or of one endpoint if given."""

    pool: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class EndpointLost:
    """An endpoint has restarted, so that nothing runs on it, or does not respond."""

    endpoint: str
    restarted: bool


@dataclass(frozen=True, slots=True)
class Used:
    """Service units received on retained standing slots since the previous message.

    `requests` counts the requests that ended in that time.
    """

    pool: str
    organisation: str
    units: float
    requests: int


@dataclass(frozen=True, slots=True)
class Charge:
    """Service units that a running request has received so far."""

    grant_id: int
    units: float


@dataclass(frozen=True, slots=True)
class Running:
    """A running request, reported to a new owner of its endpoint."""

    grant_id: int
    endpoint: str
    pool: str
    organisation: str
    units: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Service units that an organisation received from one owner incarnation.

    An aggregator reports the sum of its domain to the aggregators of other domains;
    `owner` is then empty, `owners` counts the owners with demand, and `offset` and
    `share` describe the organisation's virtual time (see `VirtualTimeRecord`); a
    share of 0.0 means none.
    """

    pool: str
    organisation: str
    owner: str
    incarnation: int
    units: float
    backlogged: bool
    domain: str
    owners: int
    offset: float = 0.0
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceError:
    """Normalised service of an organisation minus the mean of the backlogged ones."""

    pool: str
    organisation: str
    error: float
    owners: int
    total: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks to record that a non-idempotent request is about to run."""

    request_id: int
    shard: int
    key_hash: bytes
    body_hash: bytes
    issued: float
    holder: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim."""

    request_id: int
    outcome: ClaimOutcome
    holder: str = ""
    state: ClaimState = ClaimState.CLAIMED


@dataclass(frozen=True, slots=True)
class ClaimFinish:
    """New state of a claimed request."""

    shard: int
    key_hash: bytes
    state: ClaimState


@dataclass(frozen=True, slots=True)
class HeldAnswerQuery:
    """Asks the holder of a claim for the response."""

    request_id: int
    key_hash: bytes


@dataclass(frozen=True, slots=True)
class HeldAnswerReply:
    """Response to the first request with an idempotency key."""

    request_id: int
    found: HeldAnswer
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CatalogDigest:
    """Revision of the sender's replica, and a hash of each of its buckets."""

    revision: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CatalogPull:
    """Asks for the objects of some buckets."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CatalogObjects:
    """Configuration objects, each as JSON with its version."""

    objects: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class AloneDemand:
    """Demand for a request that must run in isolation; repeated every second."""

    request_id: int
    pool: str
    organisation: str


@dataclass(frozen=True, slots=True)
class AloneGrant:
    """Grant of all slots of an endpoint for one request in isolation."""

    request_id: int
    grant: Grant


@dataclass(frozen=True, slots=True)
class Suspect:
    """An endpoint incarnation crashed while running a request with this fingerprint."""

    fingerprint: bytes
    endpoint: str
    incarnation: str
    alone: bool


class PlacementState(IntEnum):
    """State of a request for an endpoint."""

    PLACED = 0
    REFUSED = 1
    WAITING = 2


@dataclass(frozen=True, slots=True)
class PromptPiece:
    """A part of a prompt with its own identity."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Requests an endpoint from the instance that places requests of the service.

    `aim_s` is the time left of the target latency and `patience_s` the maximum wait for
    an endpoint, both in seconds from now. The fields after `prompt` describe a prompt
    only if it is true. If `version_bound` is true, only endpoints with that
    `software_version` may run the request. `stream` is the id of its event stream, of
    which the receiver has to find the version if `resumed` is true. `sole_s` is the
    time in seconds for which the sender has asked only the receiver for placements of
    the shard, 0 if the sender's registration is not valid.
    """

    number: int
    service: str
    shard: int
    organisation: str
    aim_s: float
    patience_s: float
    excluded: tuple[str, ...] = ()
    prompt: bool = False
    model: str = ""
    prompt_tokens: int = 0
    generated_tokens: int = 0
    pieces: tuple[PromptPiece, ...] = ()
    fingerprint: bytes = b""
    version_bound: bool = False
    software_version: str = ""
    stream: bytes = b""
    stream_lifetime_s: float = 0.0
    resumed: bool = False
    sole_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlaceReply:
    """Reply to a `PlaceRequest`; one that waits gets another reply later.

    `unread_tokens` counts the uncached tokens. `seconds_per_token` and `start_s` are
    the prefill speed of engines as measured by the owner, for the next owner of the
    shard; 0 if it has not been measured. `software_version` is that of the endpoint.
    `speed` is the prefill time of the endpoint's `incarnation` relative to the others,
    as learned by the owner; 0 if unknown. `cold` tells whether the request was placed
    within the limit of a cold endpoint, `share_reached` whether its organisation has
    got what it is owed of the shard.
    """

    number: int
    state: PlacementState
    endpoint: str = ""
    unread_tokens: int = 0
    reason: int = 0
    retry_after_s: float = 0.0
    seconds_per_token: float = 0.0
    start_s: float = 0.0
    software_version: str = ""
    incarnation: str = ""
    speed: float = 0.0
    cold: bool = False
    share_reached: bool = False


@dataclass(frozen=True, slots=True)
class PlaceWithdraw:
    """Withdraws a `PlaceRequest`."""

    number: int


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load that an incarnation of an endpoint stated `age_s` seconds ago.

    `pace` is the time that work takes there relative to the usual one, 0 if not stated.
    `speed` is its prefill time relative to the others, as learned by the sender; 0 if
    unknown.
    """

    incarnation: str
    running: int
    waiting: int
    slots: int
    pace: float
    age_s: float
    speed: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointLoads:
    """Tells a new owner what endpoints stated about their load."""

    loads: tuple[EndpointLoad, ...]


@dataclass(frozen=True, slots=True)
class WorkStarted:
    """The endpoint has begun to respond to a placed request.

    `delayed` tells that the sender is overloaded, so that the response may have begun
    well before this message. `loads` is the endpoint's last report if it is new.
    `first_output_s` is the time from the receipt of the decision to the first output,
    0 if unknown.
    """

    number: int
    delayed: bool = False
    loads: tuple[EndpointLoad, ...] = ()
    first_output_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """A placed request has ended; `outcome` is a `WorkOutcome`.

    `loads` is the endpoint's last report if it is new.
    """

    number: int
    outcome: int
    loads: tuple[EndpointLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkRunning:
    """A running request that another instance has placed."""

    request: PlaceRequest
    endpoint: str
    started: bool


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Names the owner of a shard to an instance that may take another one for it."""

    service: str
    shard: int
    owner: str


@dataclass(frozen=True, slots=True)
class TraitCrash:
    """A crash of an endpoint that ran a request with a trait.

    `rank` is its position among the crashes that came one after the other, from 1 on,
    `age_s` the time since. `joint` are the traits that it brought to a verdict
    together, none if it brought none.
    """

    incarnation: str
    rank: int
    age_s: float = 0.0
    joint: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class TraitTrial:
    """The last request with a trait that a process placed.

    `number` counts the requests of the process, `age_s` is the time since the
    placement, `ended` whether the end is known.
    """

    process: str
    number: int
    age_s: float
    ended: bool


@dataclass(frozen=True, slots=True)
class CrashTrait:
    """Tells in how many crashes of endpoints a trait of requests was implicated.

    `crashes` is their number; none mean that a request with the trait has been served
    since. `details` are the crashes, `cleared` the incarnations whose crashes do not
    count any more, `trials` the requests that may be the next to crash an endpoint.
    """

    trait: bytes
    crashes: int
    details: tuple[TraitCrash, ...] = ()
    cleared: tuple[str, ...] = ()
    trials: tuple[TraitTrial, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointStatement:
    """Tells what an incarnation of an endpoint states about itself in its responses.

    `limit_per_s` is the number of requests a second that it takes, negative for any
    number; `age_s` the time since the last response with the limit arrived, or since
    the request was sent whose response had no limit any more. `leaving` tells that it
    accepts no new requests, `pause_s` for how long it wants none from the sender, and
    `cold_s` for how long it stays cold.
    """

    incarnation: str
    limit_per_s: float
    age_s: float
    leaving: bool = False
    pause_s: float = 0.0
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamsBegan:
    """Tells which streams began at engines with a version of their software.

    Callers may resume them for `lifetime_s` seconds.
    """

    version: str
    lifetime_s: float
    streams: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReplicaItem:
    """An item of the platform's store and its revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ReplicaNews:
    """Changes of the platform's store, for an instance that does not read it itself.

    They update a replica of an era from revision `after` to `revision`.
    `lapse_grace_s` is the grace period in which endpoints are still used after their
    entry was deleted; `age_s` is the time since the store confirmed `revision`.
    """

    after: int
    revision: int
    age_s: float
    lapse_grace_s: float = 0.0
    items: tuple[ReplicaItem, ...] = ()
    deletes: tuple[str, ...] = ()
    era: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """Tells the version of the configuration that is in force at the sender."""

    version: int


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one member as known to the sender."""

    instance: str
    domain: str
    host: str
    port: int
    peer_port: int
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member; carries recent member updates."""

    sequence: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = field(default=())
    catalog_revision: int = 0
    catalog_hash: int = 0


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to probe `target` on the sender's behalf."""

    sequence: int
    sender: MemberUpdate
    target: str
    updates: tuple[MemberUpdate, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a probe."""

    sequence: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = field(default=())
    catalog_revision: int = 0
    catalog_hash: int = 0


Message = (
    Hello
    | Demand
    | Grant
    | Release
    | Charge
    | Running
    | ServiceReport
    | ServiceError
    | Claim
    | ClaimReply
    | ClaimFinish
    | HeldAnswerQuery
    | HeldAnswerReply
    | CatalogDigest
    | CatalogPull
    | CatalogObjects
    | Suspect
    | Ping
    | PingRequest
    | Ack
    | AloneDemand
    | AloneGrant
    | Recall
    | Used
    | EndpointLost
    | PlaceRequest
    | PlaceReply
    | PlaceWithdraw
    | WorkStarted
    | WorkEnded
    | WorkRunning
    | ReplicaNews
    | ShardOwner
    | CrashTrait
    | EndpointStatement
    | ConfigurationVersion
    | StreamsBegan
    | EndpointLoads
)
