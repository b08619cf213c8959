"""Messages between instances.

The closed set of messages stands in one file, since receivers match on all of them.
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
    """Answer of a shard writer to a claim."""

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
    """What the holder of a claim knows about its answer."""

    GONE = 0
    RUNNING = 1
    HELD = 2


class MemberState(IntEnum):
    """Membership state; a higher value wins at the same incarnation."""

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
    """Number of an organisation's requests that wait at the sender."""

    pool: str
    organisation: str
    waiting: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot of an endpoint for one request of one organisation.

    A standing slot may be kept after the request and used for others of the pool,
    without a message for each, until it is recalled or stays idle.
    """

    grant_id: int
    endpoint: str
    pool: str
    organisation: str
    standing: bool = False


@dataclass(frozen=True, slots=True)
class Release:
    """End of the use of a grant.

    `units` are service units; `first_token` and `token_interval` are seconds, 0.0 when
    not measured. `fingerprint` identifies the request when the endpoint seems to have
    crashed, else it is empty. With `keep` the request ended and the standing slot is
    kept.
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
    """Asks for the standing slots of a pool, or of one endpoint if it is given."""

    pool: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class EndpointLost:
    """An endpoint restarted, so that nothing runs there now, or does not answer."""

    endpoint: str
    restarted: bool


@dataclass(frozen=True, slots=True)
class Used:
    """Service units received on kept standing slots since the last such message.

    `requests` counts the requests that ended.
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
    """A running request, told to a new owner of its endpoint."""

    grant_id: int
    endpoint: str
    pool: str
    organisation: str
    units: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Service units that an organisation received from one owner incarnation.

    An aggregator reports the sum of its domain to the aggregators of other domains;
    `owner` is then empty, `owners` counts the owners that hold demand, and `offset` and
    `share` describe the organisation's level (see `Level`); a share of 0.0 stands for
    no level.
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
    """Normalised service of an organisation less the mean over the backlogged ones."""

    pool: str
    organisation: str
    error: float
    owners: int
    total: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Request to record that a non-idempotent request is about to run."""

    request_id: int
    shard: int
    key_hash: bytes
    body_hash: bytes
    issued: float
    holder: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer to a claim."""

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
    """Asks the holder of a claim for its answer."""

    request_id: int
    key_hash: bytes


@dataclass(frozen=True, slots=True)
class HeldAnswerReply:
    """Answer of the first request with an idempotency key."""

    request_id: int
    found: HeldAnswer
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CatalogDigest:
    """Revision and one hash per bucket of the sender's replica."""

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
    """A request that must run with no other request beside it; repeated each second."""

    request_id: int
    pool: str
    organisation: str


@dataclass(frozen=True, slots=True)
class AloneGrant:
    """All slots of an endpoint for one request."""

    request_id: int
    grant: Grant


@dataclass(frozen=True, slots=True)
class Suspect:
    """An endpoint incarnation crashed while it ran a request with this fingerprint."""

    fingerprint: bytes
    endpoint: str
    incarnation: str
    alone: bool


class PlaceState(IntEnum):
    """What became of a request for an endpoint."""

    PLACED = 0
    REFUSED = 1
    WAITING = 2


@dataclass(frozen=True, slots=True)
class PromptPiece:
    """A part of a prompt."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Asks the instance that places a service's requests for an endpoint.

    `aim_s` and `patience_s` are seconds from now; `prompt` tells whether the fields
    after it describe a prompt.
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


@dataclass(frozen=True, slots=True)
class PlaceReply:
    """Answer to a request for an endpoint; one that waits gets another one later.

    `seconds_per_token` and `start_s` are the reading speed of engines that the owner
    has learned, for whoever owns the shard next; 0 if it has learned none.
    """

    number: int
    state: PlaceState
    endpoint: str = ""
    unread_tokens: int = 0
    reason: int = 0
    retry_after_s: float = 0.0
    seconds_per_token: float = 0.0
    start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlaceWithdraw:
    """The request for an endpoint is void."""

    number: int


@dataclass(frozen=True, slots=True)
class WorkStarted:
    """The endpoint has begun to answer a placed request."""

    number: int


@dataclass(frozen=True, slots=True)
class WorkEnded:
    """A placed request has ended; `outcome` is a `WorkOutcome`."""

    number: int
    outcome: int


@dataclass(frozen=True, slots=True)
class WorkRunning:
    """A request that another instance placed and that still runs."""

    request: PlaceRequest
    endpoint: str
    started: bool


@dataclass(frozen=True, slots=True)
class ReplicaItem:
    """An item of the platform's store, as of its revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ReplicaNews:
    """What a reader of the store learned, for an instance that does not read it itself.

    It changes a copy that has reached `after` into one that has reached `revision`.
    `lapse_grace_s` is the time for which endpoints whose entry is gone are still used;
    `age_s` the time since the store vouched for `revision`.
    """

    after: int
    revision: int
    age_s: float
    lapse_grace_s: float = 0.0
    items: tuple[ReplicaItem, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one member as the sender knows it."""

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
    """Answer to a probe."""

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
)
