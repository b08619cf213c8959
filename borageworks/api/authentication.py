"""Authentication of requests by API key."""

from __future__ import annotations

import hashlib

from aiohttp import web

from borageworks.catalog.objects import Organisation
from borageworks.catalog.replica import Replica
from borageworks.exceptions import KeyUnknownError

AUTHENTICATION_SCHEME = "bearer"


def authenticate(request: web.Request, replica: Replica) -> Organisation:
    """Return the organisation that the request's key belongs to.

    Raises
    ------
    KeyUnknownError
        If the key is missing, malformed or unknown.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != AUTHENTICATION_SCHEME or not key:
        raise KeyUnknownError(
            "no API key: expected the header 'Authorization: Bearer KEY'"
        )
    organisation = replica.organisation_by_key(
        hashlib.sha256(key.strip().encode()).hexdigest()
    )
    if organisation is None:
        raise KeyUnknownError("unknown API key")
    return organisation
