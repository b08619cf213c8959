"""Decodes the headers of responses from endpoints."""

from __future__ import annotations

from multidict import CIMultiDictProxy

from borageworks.gateway.answer_head import AnswerHead
from borageworks.platform import names

MISDIRECTED = 421


def decode_response_head(status: int, headers: CIMultiDictProxy[str]) -> AnswerHead:
    """Return the status and headers of a response in decoded form."""
    return AnswerHead(
        status=status,
        request_id=headers.get(names.REQUEST_ID),
        genuine=names.RESPONSE_SEAL in headers,
        not_run=names.NOT_EXECUTED in headers or status == MISDIRECTED,
        other_endpoint=status == MISDIRECTED,
    )
