"""Admission of requests by their received bytes, before they are parsed."""

from __future__ import annotations

import re
from enum import Enum

from borageworks.exceptions import InstanceOverloadedError
from borageworks.gateway.admission import Admission
from borageworks.gateway.codec import Codec
from borageworks.gateway.directory import Directory
from borageworks.gateway.organisation_tally import NO_ORGANISATION, OrganisationTally
from borageworks.metrics import Metrics

# Callers retry on a new connection, which reaches another instance.
OVERLOADED_RETRY_AFTER_S = 0.02
_LINE_END = b"\r\n"
_HEAD_END = 2 * _LINE_END
# Its responses have no body.
_HEAD_METHOD = b"HEAD "
_CONTENT_LENGTH = re.compile(
    rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.IGNORECASE
)
# With one of these, more than a head and a body of a stated length may follow.
_OPEN_ENDED = re.compile(
    rb"\r\n(?:transfer-encoding|expect|upgrade)[ \t]*:", re.IGNORECASE
)
_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Content-Type: text/plain; charset=utf-8\r\n"
    "Content-Length: {length}\r\n"
    "Retry-After: {retry_after:.3f}\r\n"
    "Connection: close\r\n\r\n"
    "{detail}"
)


class EarlyDecision(Enum):
    """What was decided on a request before it is parsed."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    UNDECIDED = "undecided"


def is_one_request(data: bytes) -> bool:
    """Return whether bytes are one complete request that a body may answer."""
    head = _head(data)
    if not head or _OPEN_ENDED.search(head) or head.startswith(_HEAD_METHOD):
        return False
    length = _CONTENT_LENGTH.search(head)
    body_bytes = int(length[1]) if length else 0
    return len(data) == len(head) + len(_LINE_END) + body_bytes


def _head(data: bytes) -> bytes:
    """Return the lines of a request's head, empty if it is incomplete."""
    return data[: data.find(_HEAD_END) + len(_LINE_END)] if _HEAD_END in data else b""


def overload_refusal(admission: Admission) -> InstanceOverloadedError:
    """Return the refusal of a request that an overloaded instance does not admit."""
    return InstanceOverloadedError(
        f"the instance admits {admission.limit_per_s:.1f} requests a second "
        "for each organisation",
        retry_after=OVERLOADED_RETRY_AFTER_S,
    )


class EarlyAdmission:
    """Decides on requests before they cost a parser, a task and a response object.

    An instance that receives many times the requests it can handle would otherwise
    spend its processor on those that it refuses.

    Parameters
    ----------
    codec
        Finds the API key of a request.
    directory
        Knows the organisation of a key.
    admission
        Decides which requests are admitted under overload.
    tally
        Counts requests and refusals by organisation.
    metrics
        Counts requests and refusals.
    """

    def __init__(
        self,
        codec: Codec,
        directory: Directory,
        admission: Admission,
        tally: OrganisationTally,
        metrics: Metrics,
    ) -> None:
        self._codec = codec
        self._directory = directory
        self._admission = admission
        self._tally = tally
        self._metrics = metrics

    @property
    def active(self) -> bool:
        """Whether requests may be refused."""
        return self._admission.limited

    def decide(self, now: float, data: bytes) -> EarlyDecision:
        """Decide on the request that received bytes consist of.

        It stays undecided unless it is complete: the response to a request whose body
        is still arriving could be lost when the connection is closed.
        """
        if not is_one_request(data):
            return EarlyDecision.UNDECIDED
        organisation = self._organisation(_head(data))
        if self._admission.admit(now, organisation):
            return EarlyDecision.ADMITTED
        self._tally.record_requested(organisation)
        self._tally.record_refused(organisation, admitted=False)
        self._metrics.count("requests")
        return EarlyDecision.REFUSED

    def refusal_response(self) -> bytes:
        """Return the response to a refused request; the connection is to be closed."""
        refusal = overload_refusal(self._admission)
        self._metrics.count("refusals", refusal.code)
        return _RESPONSE.format(
            length=len(refusal.detail),
            retry_after=OVERLOADED_RETRY_AFTER_S,
            detail=refusal.detail,
        ).encode()

    def _organisation(self, head: bytes) -> str:
        deployment = self._directory.deployment
        if deployment is None or deployment.organisations is None:
            return NO_ORGANISATION
        api_key = self._codec.find_api_key(head)
        organisation = (
            deployment.organisations.get(api_key) if api_key is not None else None
        )
        return NO_ORGANISATION if organisation is None else organisation.name
