"""Decodes the headers of responses from endpoints."""

from __future__ import annotations

from multidict import CIMultiDictProxy

from borageworks.gateway.response_head import ResponseHead
from borageworks.platform import protocol_names

MISDIRECTED_STATUS = 421


def decode_response_head(status: int, headers: CIMultiDictProxy[str]) -> ResponseHead:
    """Return the status and headers of a response in decoded form."""
    return ResponseHead(
        status=status,
        request_id=headers.get(protocol_names.REQUEST_ID),
        has_seal=protocol_names.RESPONSE_SEAL in headers,
        not_run=protocol_names.NOT_EXECUTED in headers or status == MISDIRECTED_STATUS,
        wrong_endpoint=status == MISDIRECTED_STATUS,
    )
