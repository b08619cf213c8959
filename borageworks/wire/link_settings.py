"""Settings of the links between instances."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of the links between instances.

    Parameters
    ----------
    instance, domain
        Name and failure domain of this instance.
    host, port
        Address to listen on; port 0 selects a free port.
    keys
        Shared keys in hexadecimal; the first signs, all are accepted.
    """

    instance: str
    domain: str
    host: str
    port: int
    keys: tuple[str, ...]
