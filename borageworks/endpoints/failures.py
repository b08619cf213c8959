"""Turns failures of the HTTP library into typed errors."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp

from borageworks.endpoints.bounded import AnswerOverheadError
from borageworks.exceptions import (
    EndpointDisconnectedError,
    EndpointReplyIncompleteError,
    EndpointReplyMalformedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)


@contextmanager
def typed_failures(endpoint: str) -> Iterator[None]:
    """Turn failures of a call to an endpoint inside the block into typed errors.

    Raises
    ------
    EndpointUnreachableError
        If no connection was made, so that the request was certainly not sent.
    EndpointFailedError
        Any other failure; the request may have run.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise EndpointUnreachableError(f"endpoint {endpoint!r}: {error}") from error
    except TimeoutError as error:
        raise EndpointTimeoutError(
            f"endpoint {endpoint!r}: no complete answer in time"
        ) from error
    except AnswerOverheadError as error:
        raise EndpointReplyMalformedError(f"endpoint {endpoint!r}: {error}") from error
    except aiohttp.ClientPayloadError as error:
        raise EndpointReplyIncompleteError(f"endpoint {endpoint!r}: {error}") from error
    except aiohttp.ClientResponseError as error:
        raise EndpointReplyMalformedError(
            f"endpoint {endpoint!r}: {error.message}"
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise EndpointDisconnectedError(f"endpoint {endpoint!r}: {error!r}") from error
