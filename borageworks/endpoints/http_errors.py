"""Converts errors of the HTTP library into errors of this project."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp

from borageworks.endpoints.bounded_connector import ResponseOverheadError
from borageworks.exceptions import (
    EndpointDisconnectedError,
    EndpointReplyIncompleteError,
    EndpointReplyMalformedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)


@contextmanager
def convert_http_errors(endpoint: str) -> Iterator[None]:
    """Convert HTTP library errors raised in the block.

    Raises
    ------
    EndpointUnreachableError
        If no connection was established, so that the request was not sent.
    EndpointFailedError
        On any other failure; the endpoint may have run the request.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise EndpointUnreachableError(f"endpoint {endpoint!r}: {error}") from error
    except TimeoutError as error:
        raise EndpointTimeoutError(
            f"endpoint {endpoint!r}: no complete response within the timeout"
        ) from error
    except ResponseOverheadError as error:
        raise EndpointReplyMalformedError(f"endpoint {endpoint!r}: {error}") from error
    except aiohttp.ClientPayloadError as error:
        raise EndpointReplyIncompleteError(f"endpoint {endpoint!r}: {error}") from error
    except aiohttp.ClientResponseError as error:
        raise EndpointReplyMalformedError(
            f"endpoint {endpoint!r}: {error.message}"
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise EndpointDisconnectedError(f"endpoint {endpoint!r}: {error!r}") from error
