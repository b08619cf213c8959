"""Validation of the body of a chat completion request."""

from __future__ import annotations

from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from borageworks.exceptions import BodyMalformedError


class StreamOptions(BaseModel):
    """Options of a streamed response."""

    model_config = ConfigDict(extra="allow")

    include_usage: bool = False


class CompletionRequest(BaseModel):
    """Fields that the router reads; engines validate the others."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=256)
    messages: list[dict[str, Any]] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None

    @property
    def wants_usage(self) -> bool:
        """Whether the caller asked for a usage event at the end of the stream."""
        return self.stream_options is not None and self.stream_options.include_usage


def parse_completion(body: bytes) -> tuple[CompletionRequest, bytes]:
    """Return the validated request and the body to forward to an engine.

    The body of a streamed request always asks for the usage event, from which the
    service units are computed.

    Raises
    ------
    BodyMalformedError
        If the body is not a chat completion request.
    """
    try:
        document = orjson.loads(body)
        request = CompletionRequest.model_validate(document)
    except orjson.JSONDecodeError as error:
        raise BodyMalformedError(f"request body is not JSON: {error}") from error
    except ValidationError as error:
        reasons = "; ".join(
            f"{'.'.join(str(key) for key in item['loc'])}: {item['msg']}"
            for item in error.errors()
        )
        raise BodyMalformedError(f"request body is invalid: {reasons}") from error
    if request.stream and not request.wants_usage:
        options = document.get("stream_options") or {}
        document["stream_options"] = {**options, "include_usage": True}
        body = orjson.dumps(document)
    return request, body
