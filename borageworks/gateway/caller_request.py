"""A caller's request as decoded by the platform adapter."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; parts with equal ids have equal content."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request to a model engine.

    Parameters
    ----------
    model
        Name of the requested model.
    tokens
        Length of the prompt in tokens.
    generated_tokens
        Expected number of generated tokens.
    parts
        Parts in order; the last one is specific to this request or its session.
    """

    model: str
    tokens: int
    generated_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, without its body.

    Parameters
    ----------
    id
        Id of this attempt, chosen by the caller; empty if none was sent.
    method, target
        Method, and request target (path and query) as sent.
    host
        Host without port, in lower case.
    path
        Path without query.
    api_key
        API key, or None.
    remaining_s
        Seconds that the caller waits for the response, or None if not stated.
    last_event_id
        Id of the last stream event that the caller received, or None.
    prompt
        Description of the prompt, or None.
    headers
        Headers to forward, without those that the gateway sets.
    resumed_attempt
        Id of the attempt that brought the first event of the stream that the caller
        resumes, or None if it names none or several.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    api_key: str | None
    remaining_s: float | None
    last_event_id: int | None
    prompt: Prompt | None
    headers: tuple[tuple[str, str], ...]
    resumed_attempt: str | None = None
