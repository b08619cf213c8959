"""Factories of configuration objects for tests."""

from __future__ import annotations

from borageworks.catalog.objects import (
    Endpoint,
    ObjectRef,
    Organisation,
    Pool,
    Service,
    Ticket,
)


def key_hash(number: int) -> str:
    """Return a well-formed API key hash."""
    return f"{number:064x}"


def organisation(name: str, *keys: int, share: float = 1.0) -> Organisation:
    """Return an organisation whose keys have the given numbers."""
    return Organisation(id=name, share=share, keys=tuple(map(key_hash, keys)))


def pool(name: str) -> Pool:
    """Return a pool of engines."""
    return Pool.model_validate({"id": name, "endpoints": "engine"})


def service(name: str, pool_name: str, *organisations: str) -> Service:
    """Return a service, open to every organisation if none is given."""
    return Service(id=name, pool=pool_name, organisations=organisations or None)


def endpoint(name: str, pool_name: str, port: int = 1, domain: str = "d1") -> Endpoint:
    """Return an endpoint on the loopback address."""
    return Endpoint.model_validate(
        {
            "id": name,
            "pool": pool_name,
            "domain": domain,
            "host": "127.0.0.1",
            "port": port,
        }
    )


def ticket(
    number: int,
    *put: Organisation | Pool | Service | Endpoint,
    delete: tuple[tuple[str, str], ...] = (),
) -> Ticket:
    """Return a ticket."""
    references = tuple(
        ObjectRef.model_validate({"kind": kind, "id": name}) for kind, name in delete
    )
    return Ticket(number=number, put=put, delete=references)
