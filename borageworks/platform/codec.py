"""Implements the gateway's codec interface for the platform's protocol."""

from __future__ import annotations

from borageworks.platform import names
from borageworks.platform.configuration import decode_configuration
from borageworks.platform.engine_memory import (
    LIST_PATH,
    WAIT_HEADER,
    decode_events,
    decode_list,
    events_target,
)
from borageworks.platform.entries import decode_entry
from borageworks.platform.requests import caller_key, decode_request, forwarded_headers
from borageworks.platform.responses import decode_response_head


class PlatformCodec:
    """Encodes and decodes the platform's messages."""

    configuration_key = names.CONFIGURATION_KEY
    endpoint_prefix = names.ENDPOINT_PREFIX
    own_prefix = names.OWN_PREFIX
    memory_wait_header = WAIT_HEADER
    memory_list_target = LIST_PATH
    configuration = staticmethod(decode_configuration)
    endpoint = staticmethod(decode_entry)
    request = staticmethod(decode_request)
    caller_key = staticmethod(caller_key)
    forwarded_headers = staticmethod(forwarded_headers)
    answer = staticmethod(decode_response_head)
    memory_events_target = staticmethod(events_target)
    memory_events = staticmethod(decode_events)
    memory_list = staticmethod(decode_list)
