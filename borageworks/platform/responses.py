"""Decodes the headers of responses from endpoints."""

from __future__ import annotations

import re

from multidict import CIMultiDictProxy

from borageworks.gateway.endpoint_notice import EndpointNotice
from borageworks.gateway.response_head import ResponseHead
from borageworks.platform import protocol_names
from borageworks.platform.engine_load import decode_load

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
MILLISECONDS_PER_SECOND = 1000.0
# Digits of other scripts, signs, exponents and underscores, which `float` accepts, are
# no decimal numbers of the protocol. The length keeps every number finite.
_DECIMAL = re.compile(r"[0-9]{1,18}(?:\.[0-9]{0,18})?|\.[0-9]{1,18}", re.ASCII)


def decode_response_head(status: int, headers: CIMultiDictProxy[str]) -> ResponseHead:
    """Return the status and headers of a response in decoded form."""
    load, load_malformed = decode_load(headers)
    return ResponseHead(
        status=status,
        request_id=headers.get(protocol_names.REQUEST_ID),
        has_seal=protocol_names.RESPONSE_SEAL in headers,
        not_run=protocol_names.NOT_EXECUTED in headers or status == MISDIRECTED_STATUS,
        wrong_endpoint=status == MISDIRECTED_STATUS,
        notice=_decode_notice(status, headers),
        load=load,
        load_malformed=load_malformed,
        cold_s=_decode_cold_s(headers),
    )


def _decode_notice(status: int, headers: CIMultiDictProxy[str]) -> EndpointNotice:
    malformed = set()
    limits = {text.strip() for text in headers.getall(protocol_names.RATE_LIMIT, ())}
    limit_per_s = _parse_decimal(limits.pop()) if len(limits) == 1 else None
    if limits or (limit_per_s is None and protocol_names.RATE_LIMIT in headers):
        malformed.add("limit")
        limit_per_s = None
    pause_s = None
    pauses = headers.getall(protocol_names.RETRY_AFTER, ())
    if status == UNAVAILABLE_STATUS and pauses:
        # Dates are not used: they depend on the clocks of two machines.
        seconds = [_parse_decimal(text.strip()) for text in pauses]
        pause_s = max((item for item in seconds if item is not None), default=None)
        if pause_s is None:
            malformed.add("pause")
    return EndpointNotice(
        limit_per_s=limit_per_s,
        leaving=headers.get(protocol_names.ENDPOINT_LEAVING, "").strip() == "1",
        pause_s=pause_s,
        malformed=frozenset(malformed),
    )


def _decode_cold_s(headers: CIMultiDictProxy[str]) -> float | None:
    """Return the longest cold period that a response states, None if it states none."""
    stated = headers.getall(protocol_names.COLD_REMAINING, ())
    periods = [_parse_decimal(text.strip()) for text in stated]
    longest_ms = max((item for item in periods if item is not None), default=None)
    return None if longest_ms is None else longest_ms / MILLISECONDS_PER_SECOND


def _parse_decimal(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None
