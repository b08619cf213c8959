"""Status and headers of an endpoint's response, as the adapter decoded them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an endpoint's response.

    Parameters
    ----------
    status
        HTTP status.
    request_id
        Id of the request that the endpoint responds to, or None if not stated.
    genuine
        Whether the response carries the endpoint's seal header.
    not_run
        Whether the endpoint states that it did not execute the request.
    other_endpoint
        Whether the address now belongs to another endpoint than the expected one.
    """

    status: int
    request_id: str | None
    genuine: bool
    not_run: bool
    other_endpoint: bool
