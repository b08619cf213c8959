"""Decodes the headers of responses from endpoints."""

from __future__ import annotations

import re

from multidict import CIMultiDictProxy

from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.gateway.response_head import ResponseHead
from borageworks.platform import protocol_names

MISDIRECTED_STATUS = 421
# Digits of other scripts, signs, exponents and underscores, which `float` accepts, are
# no decimal numbers of the protocol. The length keeps every number finite.
_DECIMAL = re.compile(r"[0-9]{1,18}(?:\.[0-9]{0,18})?|\.[0-9]{1,18}", re.ASCII)


def decode_response_head(status: int, headers: CIMultiDictProxy[str]) -> ResponseHead:
    """Return the status and headers of a response in decoded form."""
    return ResponseHead(
        status=status,
        request_id=headers.get(protocol_names.REQUEST_ID),
        has_seal=protocol_names.RESPONSE_SEAL in headers,
        not_run=protocol_names.NOT_EXECUTED in headers or status == MISDIRECTED_STATUS,
        wrong_endpoint=status == MISDIRECTED_STATUS,
        notice=_decode_notice(headers),
    )


def _decode_notice(headers: CIMultiDictProxy[str]) -> EndpointNotice:
    values = {value.strip() for value in headers.getall(protocol_names.RATE_LIMIT, ())}
    if not values:
        return EndpointNotice()
    limit_per_s = _parse_decimal(values.pop()) if len(values) == 1 else None
    return EndpointNotice(limit_per_s, limit_malformed=limit_per_s is None)


def _parse_decimal(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None
