"""Deployment configuration and endpoints currently in effect at this instance."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from borageworks.events import Event, emit
from borageworks.exceptions import (
    DeploymentMalformedError,
    EndpointEntryMalformedError,
)
from borageworks.gateway.codec import Codec
from borageworks.gateway.deployment import Deployment
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.replica import ReplicaChange
from borageworks.gateway.route_table import RouteTable
from borageworks.metrics import Metrics

# Endpoints whose entries expired during a store outage register again within about two
# seconds of its end; the remaining 0.2 s lets the change reach this instance.
EXPIRY_GRACE_S = 2.2
# Endpoints of which the last entry is remembered, listed or not.
MAX_REMEMBERED_ENDPOINTS = 4096


@dataclass(frozen=True, slots=True)
class _LastEntry:
    """Last entry of an endpoint, and whether it has been removed since."""

    endpoint: Endpoint
    removed: bool

    def precedes(self, endpoint: Endpoint) -> bool:
        """Return whether another entry is certainly later than this one."""
        last = self.endpoint
        if endpoint.started_ms != last.started_ms:
            return endpoint.started_ms > last.started_ms
        if endpoint.sequence != last.sequence:
            return endpoint.sequence > last.sequence
        return not self.removed and endpoint.leaving >= last.leaving


class Directory:
    """Deployment configuration and endpoints currently in effect at this instance.

    Performs no I/O and reads no clock: callers pass in store changes and the time.

    Parameters
    ----------
    codec
        Decodes the values of store items.
    metrics
        Counts items that cannot be decoded.
    """

    def __init__(self, codec: Codec, metrics: Metrics) -> None:
        self._codec = codec
        self._metrics = metrics
        self._deployment: Deployment | None = None
        self._configuration_data: bytes | None = None
        self._routes = RouteTable(())
        self._revision = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._grace_until: dict[str, float] = {}
        self._last_entries: OrderedDict[str, _LastEntry] = OrderedDict()

    @property
    def configuration_data(self) -> bytes | None:
        """Current configuration as the operator wrote it, or None."""
        return self._configuration_data

    @property
    def deployment(self) -> Deployment | None:
        """Current configuration, or None before the first one."""
        return self._deployment

    @property
    def routes(self) -> RouteTable:
        """Routes of the current configuration."""
        return self._routes

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Endpoints by id."""
        return self._endpoints

    def endpoints_of(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [item for item in self._endpoints.values() if item.service == service]

    def apply(self, change: ReplicaChange, now: float, keep_until: float) -> None:
        """Apply changes of store items.

        After a restore of the store, entries and configurations that are older than
        those known have no effect: a confirmed change stays in force.

        Parameters
        ----------
        change
            Changed and deleted items.
        now, keep_until
            Endpoints whose entry was deleted stay in use until `keep_until`, since
            entries may expire during a store outage.
        """
        for key, item in change.puts.items():
            if key == self._codec.configuration_key:
                self.apply_configuration(item.value, item.mod_revision)
            elif key.startswith(self._codec.endpoint_prefix):
                self._apply_entry(key, item.value, restored=change.restored)
        for key in change.deletes:
            if not key.startswith(self._codec.endpoint_prefix):
                continue
            name = key.removeprefix(self._codec.endpoint_prefix)
            if name not in self._endpoints:
                continue
            if keep_until > now:
                self._grace_until[name] = keep_until
            else:
                self._remove(name)

    def expire(self, now: float) -> bool:
        """Remove endpoints whose grace period has ended; return whether any was."""
        expired = [name for name, until in self._grace_until.items() if until <= now]
        for name in expired:
            self._remove(name)
        return bool(expired)

    def extend_grace(self, until: float) -> None:
        """Extend the grace period of endpoints without an entry until `until`."""
        for name in self._grace_until:
            self._grace_until[name] = max(self._grace_until[name], until)

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint whose address now belongs to another endpoint."""
        if name in self._endpoints:
            self._remove(name)

    def apply_configuration(self, data: bytes, revision: int) -> None:
        """Apply a configuration unless it is older than the current one.

        Parameters
        ----------
        data
            Configuration as the operator wrote it.
        revision
            Store revision for the log, 0 if another instance sent it.
        """
        try:
            deployment = self._codec.decode_configuration(data)
        except DeploymentMalformedError as error:
            self._metrics.count("deployments_rejected", error.code)
            emit(Event.DEPLOYMENT_REJECTED, revision=revision, reason=str(error))
            return
        current = self._deployment
        if current is not None and deployment.version < current.version:
            self._metrics.count("deployments_rejected", "older_version")
            emit(
                Event.DEPLOYMENT_REJECTED,
                revision=revision,
                reason=f"version {deployment.version} is older than {current.version}",
            )
            return
        self._deployment = deployment
        self._configuration_data = data
        self._routes = RouteTable(deployment.routes)
        self._metrics.gauge("deployment_version", deployment.version)
        emit(
            Event.DEPLOYMENT_CHANGED,
            version=deployment.version,
            revision=revision,
            routes=len(deployment.routes),
        )

    def _apply_entry(self, key: str, data: bytes, *, restored: bool) -> None:
        name = key.removeprefix(self._codec.endpoint_prefix)
        try:
            endpoint = self._codec.decode_endpoint(key, data)
        except EndpointEntryMalformedError as error:
            self._metrics.count("endpoint_entries_rejected", error.code)
            emit(Event.ENDPOINT_ENTRY_REJECTED, endpoint=name, reason=str(error))
            # The malformed entry has replaced the previous one, which no longer holds.
            if name in self._endpoints:
                self._remove(name)
            return
        last = self._last_entries.get(name)
        if restored and last is not None and not last.precedes(endpoint):
            self._metrics.count("endpoint_entries_rejected", "restored")
            emit(
                Event.ENDPOINT_ENTRY_REJECTED,
                endpoint=name,
                reason=f"entry {endpoint.sequence} of a restored store is out of date",
            )
            return
        self._grace_until.pop(name, None)
        known = self._endpoints.get(name)
        self._endpoints[name] = endpoint
        self._remember(endpoint, removed=False)
        if known is None or known.leaving != endpoint.leaving:
            emit(
                Event.ENDPOINT_LISTED,
                endpoint=name,
                service=endpoint.service,
                leaving=endpoint.leaving,
                software_version=endpoint.software_version,
            )

    def _remember(self, endpoint: Endpoint, *, removed: bool) -> None:
        self._last_entries[endpoint.id] = _LastEntry(endpoint, removed)
        self._last_entries.move_to_end(endpoint.id)
        if len(self._last_entries) > MAX_REMEMBERED_ENDPOINTS:
            self._last_entries.popitem(last=False)

    def _remove(self, name: str) -> None:
        self._remember(self._endpoints.pop(name), removed=True)
        self._grace_until.pop(name, None)
        emit(Event.ENDPOINT_LISTED, endpoint=name, service="", leaving=True)
