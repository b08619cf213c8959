"""Conversion between placement types and messages to other instances."""

from __future__ import annotations

from dataclasses import replace

from borageworks.exceptions import (
    CapacityExceededError,
    CrashingRequestError,
    EndpointUnavailableError,
    RefusalError,
    StreamUnknownError,
    StreamVersionGoneError,
)
from borageworks.gateway.caller_request import Prompt, PromptPart
from borageworks.placement.decisions import Decision, Placed, RefusalReason, Refused
from borageworks.placement.prefill_speed import PrefillSpeed
from borageworks.placement.work import Work
from borageworks.wire.messages import (
    PlacementState,
    PlaceReply,
    PlaceRequest,
    PromptPiece,
)


def encode_work(shard: tuple[str, int], work: Work) -> PlaceRequest:
    """Return the message that requests a placement."""
    request = PlaceRequest(
        work.key[1],
        shard[0],
        shard[1],
        work.organisation,
        work.remaining_target_s,
        work.max_wait_s,
        tuple(sorted(work.excluded)),
        fingerprint=work.fingerprint,
        version_bound=work.software_version is not None,
        software_version=work.software_version or "",
        stream=work.stream,
        stream_lifetime_s=work.stream_lifetime_s,
        resumed=work.resumed,
    )
    prompt = work.prompt
    if prompt is None:
        return request
    return replace(
        request,
        prompt=True,
        model=prompt.model,
        prompt_tokens=prompt.tokens,
        generated_tokens=prompt.generated_tokens,
        pieces=tuple(PromptPiece(part.id, part.tokens) for part in prompt.parts),
    )


def decode_work(instance: str, request: PlaceRequest) -> Work:
    """Return the work described by a placement request of an instance."""
    prompt = None
    if request.prompt:
        prompt = Prompt(
            request.model,
            request.prompt_tokens,
            request.generated_tokens,
            tuple(PromptPart(piece.id, piece.tokens) for piece in request.pieces),
        )
    return Work(
        (instance, request.number),
        request.organisation,
        request.aim_s,
        request.patience_s,
        prompt,
        frozenset(request.excluded),
        request.fingerprint,
        request.software_version if request.version_bound else None,
        request.stream,
        request.stream_lifetime_s,
        request.resumed,
    )


def encode_decision(
    decision: Decision, prefill_speed: PrefillSpeed | None
) -> PlaceReply:
    """Return the message that carries a decision and the measured prefill speed."""
    number = decision.key[1]
    learned = prefill_speed is not None and prefill_speed.learned
    match decision:
        case Placed():
            return PlaceReply(
                number,
                PlacementState.PLACED,
                endpoint=decision.endpoint,
                unread_tokens=decision.uncached_tokens,
                seconds_per_token=prefill_speed.seconds_per_token
                if prefill_speed and learned
                else 0.0,
                start_s=prefill_speed.start_s if prefill_speed and learned else 0.0,
                software_version=decision.software_version,
                incarnation=decision.incarnation,
                speed=decision.speed,
                cold=decision.cold,
                share_reached=decision.share_reached,
            )
        case Refused():
            return PlaceReply(
                number,
                PlacementState.REFUSED,
                reason=int(decision.reason),
                retry_after_s=decision.retry_after_s,
                share_reached=decision.share_reached,
            )


def refusal_error(refused: Refused) -> RefusalError:
    """Return the error to raise for a refused request."""
    match refused.reason:
        case RefusalReason.NO_ENDPOINT:
            return EndpointUnavailableError(
                "no endpoint is available", retry_after=refused.retry_after_s
            )
        case RefusalReason.NO_CAPACITY:
            return CapacityExceededError(
                "no endpoint can respond in time",
                retry_after=refused.retry_after_s,
            )
        case RefusalReason.WAIT_TIMEOUT:
            return CapacityExceededError(
                "no endpoint became free in time", retry_after=refused.retry_after_s
            )
        case RefusalReason.STREAM_UNKNOWN:
            return StreamUnknownError(
                "the version of the engine that began the stream is not known",
                retry_after=refused.retry_after_s or None,
            )
        case RefusalReason.VERSION_GONE:
            return StreamVersionGoneError(
                "no engine of the version that began the stream is left"
            )
        case RefusalReason.SUSPECTED:
            return CrashingRequestError(
                "three endpoints disconnected while running the request",
                retry_after=refused.retry_after_s,
            )
