"""A deployment as the operator listed it, before entries of equal name are merged."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from borageworks.gateway.deployment import Deployment, ServiceProfile


class PlaceNames(Protocol):
    """Translates places in a deployment to places in the file that describes it."""

    def path(self, *steps: str | int) -> str:
        """Return the JSON path of a place.

        Parameters
        ----------
        steps
            Names of fields of the deployment's types (`attempts` for the number of
            attempts of a route), and positions in its lists.
        """


@dataclass(frozen=True, slots=True)
class OrganisationKeys:
    """An organisation with its API keys, which stay out of logs and tracebacks."""

    name: str
    keys: tuple[str, ...] = field(repr=False)


@dataclass(frozen=True, slots=True)
class DeploymentListing:
    """A deployment with its services and organisations in the order of the file.

    Parameters
    ----------
    deployment
        Deployment as gateways use it.
    services, organisations
        All entries, also those with equal names; organisations are None if requests
        need no key.
    places
        Translates places in the deployment to JSON paths.
    """

    deployment: Deployment = field(repr=False)
    services: tuple[ServiceProfile, ...]
    organisations: tuple[OrganisationKeys, ...] | None
    places: PlaceNames = field(compare=False, repr=False)

    def path(self, *steps: str | int) -> str:
        """Return the JSON path of a place in the deployment."""
        return self.places.path(*steps)
