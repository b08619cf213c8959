"""Decoder for the server-sent events of chat completion streams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from borageworks.exceptions import EndpointReplyMalformedError

MAX_EVENT_BYTES = 1_048_576
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Parameters
    ----------
    raw
        The event as received, with its terminating empty line.
    content
        Generated text in UTF-8.
    usage
        The usage object, or None.
    done
        Whether this is the end marker.
    only_usage
        Whether the event has no choices, like the usage event that ends a stream.
    software
        Version of the software that generated the content, empty if not stated.
    """

    raw: bytes
    content: bytes = b""
    usage: dict[str, Any] | None = None
    done: bool = False
    only_usage: bool = False
    software: str = ""


class StreamDecoder:
    """Splits received bytes into events and buffers an incomplete last event."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises
        ------
        EndpointReplyMalformedError
            If an event exceeds the size limit or is not valid.
        """
        *complete, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EndpointReplyMalformedError(
                f"stream event exceeds {MAX_EVENT_BYTES} bytes"
            )
        return [_decode(block) for block in complete if block.strip()]


def _decode(block: bytes) -> StreamEvent:
    raw = block + b"\n\n"
    payload = b"\n".join(
        line[5:].strip() for line in block.split(b"\n") if line.startswith(b"data:")
    )
    if not payload:
        return StreamEvent(raw)
    if payload == DONE:
        return StreamEvent(raw, done=True)
    try:
        body = orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise EndpointReplyMalformedError(
            f"stream event is not JSON: {error}"
        ) from error
    if not isinstance(body, dict) or not isinstance(body.get("choices"), list):
        raise EndpointReplyMalformedError("stream event has no 'choices' list")
    choices = body["choices"]
    usage = body.get("usage")
    software = body.get("system_fingerprint")
    return StreamEvent(
        raw,
        content=b"".join(_content(choice) for choice in choices),
        usage=usage if isinstance(usage, dict) else None,
        only_usage=not choices,
        software=software if isinstance(software, str) else "",
    )


def _content(choice: Any) -> bytes:
    if not isinstance(choice, dict) or not isinstance(choice.get("delta"), dict):
        raise EndpointReplyMalformedError(
            "choice in stream event has no 'delta' object"
        )
    content = choice["delta"].get("content")
    return content.encode() if isinstance(content, str) else b""
