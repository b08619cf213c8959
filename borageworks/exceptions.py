"""Exceptions of the package; each has a stable code, listed in docs/errors.md."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class Ran(StrEnum):
    """Whether an endpoint ran a request that ended in an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class BorageworksError(Exception):
    """Base class of all errors of this package."""

    code: ClassVar[str] = "internal_error"


class SettingsInvalidError(BorageworksError):
    """The settings file has errors; `reasons` lists each with its path."""

    code = "settings_invalid"

    def __init__(self, reasons: tuple[str, ...]) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


class TicketInvalidError(BorageworksError):
    """A ticket would leave the configuration invalid; `reasons` lists why."""

    code = "ticket_invalid"

    def __init__(self, reasons: tuple[str, ...]) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


class TicketConflictError(BorageworksError):
    """A ticket with the same or a higher number already changed an object."""

    code = "ticket_conflict"


class StoreUnavailableError(BorageworksError):
    """The platform store did not accept the call; nothing was written."""

    code = "store_unavailable"


class StoreOutcomeUnknownError(BorageworksError):
    """The reply of a write was lost; it may or may not have taken effect."""

    code = "store_outcome_unknown"


class StoreCompactedError(BorageworksError):
    """A watch starts at a revision that the platform store has compacted."""

    code = "store_compacted"


class StoreRestoredError(BorageworksError):
    """The platform store has come back from an older copy: revisions are different."""

    code = "store_restored"


class StoreLeaseExpiredError(BorageworksError):
    """A lease of the platform store no longer exists."""

    code = "store_lease_expired"


class StoreReplyMalformedError(BorageworksError):
    """A reply of the platform store violates its protocol."""

    code = "store_reply_malformed"


class ClaimSegmentMalformedError(BorageworksError):
    """A claim segment in the platform store cannot be decoded."""

    code = "claim_segment_malformed"


class MessageMalformedError(BorageworksError):
    """Bytes from another instance are not a valid message."""

    code = "message_malformed"


class MessageUnauthenticError(BorageworksError):
    """A message from another instance has a wrong authentication code."""

    code = "message_unauthentic"


class MessageTooLargeError(BorageworksError):
    """A message exceeds the size limit of its transport."""

    code = "message_too_large"


class DeploymentMalformedError(BorageworksError):
    """The operator's configuration is invalid; the last valid one stays in effect."""

    code = "deployment_malformed"


class EndpointEntryMalformedError(BorageworksError):
    """An entry in the list of endpoints is invalid and is ignored."""

    code = "endpoint_entry_malformed"


class EndpointFailedError(BorageworksError):
    """Base class of failures of one attempt at an endpoint."""

    code = "endpoint_failed"


class EndpointUnreachableError(EndpointFailedError):
    """No connection to the endpoint was made, so the request did not run."""

    code = "endpoint_unreachable"


class EndpointDeclinedError(EndpointFailedError):
    """The endpoint stated that it wants no requests before this one was sent."""

    code = "endpoint_declined"


class EndpointRefusedError(EndpointFailedError):
    """The endpoint reported that it did not start the request."""

    code = "endpoint_refused"


class EndpointDisconnectedError(EndpointFailedError):
    """The connection broke after the request may have reached the endpoint."""

    code = "endpoint_disconnected"


class EndpointTimeoutError(EndpointFailedError):
    """The endpoint did not respond within the run timeout."""

    code = "endpoint_timeout"


class EndpointReplyMalformedError(EndpointFailedError):
    """The endpoint's response violates its protocol."""

    code = "endpoint_reply_malformed"


class EndpointReplyCrossedError(EndpointFailedError):
    """The endpoint's response has the ID of another request."""

    code = "endpoint_reply_crossed"


class EndpointReplyIncompleteError(EndpointFailedError):
    """The endpoint's response ended before its end marker."""

    code = "endpoint_reply_incomplete"


class PlacementSilentError(BorageworksError):
    """The instance that places a service's requests did not reply."""

    code = "placement_silent"


class CallerFailedError(BorageworksError):
    """Base class of failures on the caller's connection."""

    code = "caller_failed"


class CallerDisconnectedError(CallerFailedError):
    """The caller closed its connection before the response was complete."""

    code = "caller_disconnected"


class CallerStalledError(CallerFailedError):
    """The caller stopped reading the response."""

    code = "caller_stalled"


class RefusalError(BorageworksError):
    """Base class of error responses to a caller's request."""

    code = "refused"
    status: ClassVar[int] = 500
    title: ClassVar[str] = "The request was refused"
    default_ran: ClassVar[Ran] = Ran.NOT_RUN

    def __init__(
        self,
        detail: str,
        *,
        ran: Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.ran = self.default_ran if ran is None else ran
        self.retry_after = retry_after


class BodyMalformedError(RefusalError):
    """The request body cannot be parsed."""

    code = "body_malformed"
    status = 400
    title = "The request body is malformed"


class BodyTooLargeError(RefusalError):
    """The request body exceeds the service's limit."""

    code = "body_too_large"
    status = 413
    title = "The request body is too large"


class BodyLateError(RefusalError):
    """The request's body did not arrive before its deadline."""

    code = "body_late"
    status = 408
    title = "The body arrived too late"


class RequestMalformedError(RefusalError):
    """The HTTP request itself is malformed or its headers are too large."""

    code = "request_malformed"
    status = 400
    title = "The HTTP request is malformed"


class UnexpectedError(RefusalError):
    """The router failed unexpectedly; the reason is in its log."""

    code = "unexpected"
    status = 500
    title = "The router failed"
    default_ran = Ran.UNKNOWN


class KeyUnknownError(RefusalError):
    """The API key belongs to no organisation."""

    code = "key_unknown"
    status = 401
    title = "The API key is missing or unknown"


class ServiceUnknownError(RefusalError):
    """The model or service does not exist."""

    code = "service_unknown"
    status = 404
    title = "No such model or service"


class ServiceForbiddenError(RefusalError):
    """The organisation may not use the service."""

    code = "service_forbidden"
    status = 403
    title = "The organisation may not use this service"


class RouteUnknownError(RefusalError):
    """The path does not exist."""

    code = "route_unknown"
    status = 404
    title = "No such path"


class MethodForbiddenError(RefusalError):
    """The path does not accept the method."""

    code = "method_forbidden"
    status = 405
    title = "The path does not accept this method"


class OrganisationQueueFullError(RefusalError):
    """The organisation's queue at this instance is full."""

    code = "organisation_queue_full"
    status = 429
    title = "Too many requests of this organisation wait"


class InstanceQueueFullError(RefusalError):
    """The queue of this instance is full."""

    code = "instance_queue_full"
    status = 503
    title = "Too many requests wait at this instance"


class QueueTimeoutError(RefusalError):
    """The request waited for its whole queue timeout."""

    code = "queue_timeout"
    status = 503
    title = "No endpoint was free in time"


class RequestSuspectedError(RefusalError):
    """The request has crashed endpoints and is not run again."""

    code = "request_suspected"
    status = 422
    title = "The request has crashed endpoints and is not run again"


class CrashingRequestError(RefusalError):
    """The request's connection broke at several endpoints; it is not retried."""

    code = "crashing_request"
    status = 503
    title = "The request has crashed endpoints"


class RetriesExhaustedError(RefusalError):
    """All attempts failed or the retry budget is exhausted."""

    code = "retries_exhausted"
    status = 502
    title = "The endpoints failed to answer"


class OutcomeUnknownError(RefusalError):
    """The request may have run, and its response was lost."""

    code = "outcome_unknown"
    status = 504
    title = "The request may have run; its outcome is unknown"
    default_ran = Ran.UNKNOWN


class IdempotencyKeyMissingError(RefusalError):
    """A non-idempotent request carries no Idempotency-Key."""

    code = "idempotency_key_missing"
    status = 400
    title = "The service needs an Idempotency-Key"


class IdempotencyKeyMalformedError(RefusalError):
    """The Idempotency-Key contains no valid issue time."""

    code = "idempotency_key_malformed"
    status = 400
    title = "The Idempotency-Key is malformed"


class IdempotencyKeyExpiredError(RefusalError):
    """The Idempotency-Key is older than the claim window."""

    code = "idempotency_key_expired"
    status = 409
    title = "The Idempotency-Key is too old or issued in the future"


class IdempotencyKeyReusedError(RefusalError):
    """The Idempotency-Key was used with another body."""

    code = "idempotency_key_reused"
    status = 422
    title = "The Idempotency-Key was used with another request"


class IdempotencyKeyReleasedError(RefusalError):
    """The first request with this Idempotency-Key did not run; the key is used up."""

    code = "idempotency_key_released"
    status = 409
    title = "The first request with this Idempotency-Key did not run"


class RequestInProgressError(RefusalError):
    """The first request with this Idempotency-Key is still waiting or running."""

    code = "request_in_progress"
    status = 409
    title = "The first request with this Idempotency-Key is in progress"


class AnswerNotHeldError(RefusalError):
    """The first request ran, and its response is no longer stored."""

    code = "answer_not_held"
    status = 409
    title = "The first request ran; its answer is no longer held"


class ClaimUnavailableError(RefusalError):
    """The platform store cannot record the claim, so the request did not run."""

    code = "claim_unavailable"
    status = 503
    title = "Non-idempotent requests cannot be accepted now"


class CapacityExceededError(RefusalError):
    """No endpoint can respond in time; the caller may retry later."""

    code = "capacity_exceeded"
    status = 503
    title = "No endpoint can answer in time"


class EndpointsBusyError(RefusalError):
    """The endpoint refused the request, which may not be sent to another one."""

    code = "endpoints_busy"
    status = 503
    title = "The endpoint has no room"


class EndpointUnavailableError(RefusalError):
    """No endpoint of the service can be reached; the request did not run."""

    code = "endpoint_unavailable"
    status = 503
    title = "No endpoint of the service can be reached"


class StreamUnknownError(RefusalError):
    """Where a resumed stream began is not known; the request did not run."""

    code = "stream_unknown"
    status = 503
    title = "The stream cannot be resumed"


class StreamVersionGoneError(RefusalError):
    """No endpoint can go on with a resumed stream; the request did not run."""

    code = "stream_version_gone"
    status = 503
    title = "The stream cannot be resumed"


class AnswerLostError(RefusalError):
    """The endpoint failed after the request was sent; it may have run."""

    code = "answer_lost"
    status = 502
    title = "The endpoint's answer was lost"
    default_ran = Ran.UNKNOWN


class AnswerTimeoutError(RefusalError):
    """The request's deadline has passed; it may still be running."""

    code = "answer_timeout"
    status = 504
    title = "The endpoint did not answer in time"
    default_ran = Ran.UNKNOWN


class InstanceLeavingError(RefusalError):
    """The instance is shutting down and cannot finish the request."""

    code = "instance_leaving"
    status = 503
    title = "The instance is shutting down"


class InstanceOverloadedError(RefusalError):
    """The instance's CPU is saturated; another instance may accept the request."""

    code = "instance_overloaded"
    status = 503
    title = "The instance is overloaded"


class InstanceNotReadyError(RefusalError):
    """The instance has no configuration yet or is about to stop."""

    code = "instance_not_ready"
    status = 503
    title = "The instance is not ready"


def error_types() -> list[type[BorageworksError]]:
    """Return every error class of the package, ordered by code."""
    found: list[type[BorageworksError]] = []
    pending = [BorageworksError]
    while pending:
        parent = pending.pop()
        found.append(parent)
        pending.extend(parent.__subclasses__())
    return sorted(found, key=lambda error: error.code)
