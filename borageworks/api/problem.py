"""Error responses as problem details (RFC 9457)."""

from __future__ import annotations

import math
from typing import Any

import orjson
from aiohttp import web

from borageworks.exceptions import RefusalError

CONTENT_TYPE = "application/problem+json"


def problem_body(refusal: RefusalError, request_id: str) -> dict[str, Any]:
    """Return the problem details object of a refusal.

    `error` repeats the detail in the format that clients of model APIs display.
    """
    return {
        "type": "about:blank",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "ran": refusal.ran.value,
        "request_id": request_id,
        "error": {
            "message": refusal.detail,
            "type": refusal.code,
            "code": refusal.code,
        },
    }


def problem_response(refusal: RefusalError, request_id: str) -> web.Response:
    """Return the response to a refused request."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    return web.Response(
        status=refusal.status,
        body=orjson.dumps(problem_body(refusal, request_id)),
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def problem_event(refusal: RefusalError, request_id: str) -> bytes:
    """Return the server-sent event that reports the failure of an open stream."""
    return b"data: " + orjson.dumps(problem_body(refusal, request_id)) + b"\n\n"
