"""Implements the gateway's codec interface for the platform's protocol."""

from __future__ import annotations

from borageworks.platform import protocol_names
from borageworks.platform.configuration import decode_configuration
from borageworks.platform.engine_cache import (
    LIST_PATH,
    WAIT_HEADER,
    decode_events,
    decode_list,
    events_target,
)
from borageworks.platform.entries import decode_entry
from borageworks.platform.requests import (
    caller_api_key,
    decode_request,
    find_api_key,
    forwarded_headers,
)
from borageworks.platform.responses import decode_response_head


class PlatformCodec:
    """Encodes and decodes the platform's messages."""

    configuration_key = protocol_names.CONFIGURATION_KEY
    endpoint_prefix = protocol_names.ENDPOINT_PREFIX
    evacuation_prefix = protocol_names.EVACUATION_PREFIX
    own_prefix = protocol_names.OWN_PREFIX
    cache_wait_header = WAIT_HEADER
    cache_list_target = LIST_PATH
    decode_configuration = staticmethod(decode_configuration)
    decode_endpoint = staticmethod(decode_entry)
    decode_request = staticmethod(decode_request)
    caller_api_key = staticmethod(caller_api_key)
    find_api_key = staticmethod(find_api_key)
    forwarded_headers = staticmethod(forwarded_headers)
    decode_response_head = staticmethod(decode_response_head)
    cache_events_target = staticmethod(events_target)
    decode_cache_events = staticmethod(decode_events)
    decode_cache_list = staticmethod(decode_list)
