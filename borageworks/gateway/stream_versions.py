"""Finds the version of the engine that began a stream which a caller resumes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from borageworks.gateway.deployment import Deployment
from borageworks.gateway.endpoint import Endpoint
from borageworks.gateway.route import RetryPolicy
from borageworks.placement.software_history import SoftwareHistory
from borageworks.placement.stream_origins import CONFLICTING, StreamOrigins

# Shortest time for which a version counts after its last engine has gone. An engine may
# serve for a while after its entry has been removed.
MIN_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class ResolvedStream:
    """Version of the engine that began a stream, and how it was found."""

    version: str
    source: str


class StreamVersions:
    """Finds the version of the engine that began a stream which a caller resumes.

    That is a record of the stream, made here or told by others, or else the only
    version that the service has had for as long as a stream may be old. The latter
    holds only if the store has confirmed the list of engines since the caller resumed
    the stream: it may have begun at a version that has joined a moment ago.

    Parameters
    ----------
    now
        Time in seconds.
    complete
        Whether no engine can have served before `now`.
    """

    def __init__(self, now: float = 0.0, *, complete: bool = True) -> None:
        self._complete = complete
        self._origins = StreamOrigins()
        self._histories: dict[str, SoftwareHistory] = {}
        self._started_at = now

    @property
    def origins(self) -> StreamOrigins:
        """Records of single streams."""
        return self._origins

    @property
    def histories(self) -> dict[str, SoftwareHistory]:
        """Versions of each service whose streams can be resumed."""
        return self._histories

    def update(
        self, now: float, deployment: Deployment, endpoints: Iterable[Endpoint]
    ) -> None:
        """Apply the current deployment configuration and endpoints."""
        resumable = {
            target.service
            for route in deployment.routes
            if route.retry_policy is RetryPolicy.RESUME
            for target in route.targets
        }
        listed: dict[str, set[str]] = {service: set() for service in resumable}
        for endpoint in endpoints:
            if endpoint.service in listed:
                listed[endpoint.service].add(endpoint.software_version)
        longest_s = max((route.timeout_s for route in deployment.routes), default=0.0)
        for service, versions in listed.items():
            history = self.history(now, service, max(MIN_RETENTION_S, longest_s))
            history.record_listed(now, versions)

    def history(
        self, now: float, service: str, retention_s: float = MIN_RETENTION_S
    ) -> SoftwareHistory:
        """Return the history of a service, a new one if there is none."""
        history = self._histories.get(service)
        if history is None:
            history = SoftwareHistory(now, retention_s, complete=self._complete)
            self._histories[service] = history
        return history

    def is_mixed(self, now: float, service: str) -> bool:
        """Return whether streams in progress may be of several versions."""
        history = self._histories.get(service)
        return history is not None and len(history.versions(now)) > 1

    def resolve(
        self, now: float, service: str, stream: bytes, *, confirmed: bool = False
    ) -> ResolvedStream | None:
        """Return the version of a stream, None if it is not known.

        Parameters
        ----------
        now
            Time in seconds.
        service
            Service of the stream.
        stream
            Id of the stream, empty if its caller does not name it.
        confirmed
            Whether the store has confirmed the list of engines since the caller resumed
            the stream.
        """
        origin = self._origins.find(now, stream) if stream else None
        if origin is not None:
            if origin.version == CONFLICTING:
                return None
            return ResolvedStream(origin.version, origin.source)
        history = self._histories.get(service)
        if history is None or not confirmed:
            return None
        version = history.only_version(now)
        return None if version is None else ResolvedStream(version, "only_version")
