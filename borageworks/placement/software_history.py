"""Versions of engines' software that streams of a service may have begun at."""

from __future__ import annotations

from collections.abc import Iterable

# Version of engines that name none: such engines may differ from each other.
UNKNOWN_VERSION = ""


class SoftwareHistory:
    """Versions of one service's engines that a stream in progress may have begun at.

    A version counts for a time after its last engine has gone, since callers still
    resume streams that began there. An instance that starts knows of earlier versions
    only by the stored history.

    Parameters
    ----------
    now
        Time in seconds.
    retention_s
        Seconds for which a version counts after its last engine has gone.
    complete
        Whether no engine can have served before `now`.
    """

    def __init__(self, now: float, retention_s: float, *, complete: bool) -> None:
        self._retention_s = retention_s
        self._listed: frozenset[str] = frozenset()
        self._seen_at: dict[str, float] = {}
        self._complete_at = now if complete else now + retention_s
        self._stored: frozenset[str] | None = None

    @property
    def stored(self) -> frozenset[str] | None:
        """Versions in the stored history, None if there is none."""
        return self._stored

    def record_listed(self, now: float, versions: Iterable[str]) -> None:
        """Record the versions of the engines that are listed now."""
        for version in self._listed:
            self._seen_at[version] = now
        self._listed = frozenset(versions)
        for version in self._listed:
            self._seen_at[version] = now

    def apply_stored(self, now: float, versions: Iterable[str] | None) -> None:
        """Apply the stored history, None if it is gone."""
        self._stored = None if versions is None else frozenset(versions)
        if self._stored is None:
            return
        self._complete_at = min(self._complete_at, now)
        for version in self._stored - self.versions(now):
            self._seen_at[version] = now

    def is_complete(self, now: float) -> bool:
        """Return whether all versions are known that streams may have begun at."""
        return now >= self._complete_at

    def versions(self, now: float) -> frozenset[str]:
        """Return the versions that a stream in progress may have begun at."""
        oldest = now - self._retention_s
        recent = (item for item, at in self._seen_at.items() if at >= oldest)
        return self._listed.union(recent)

    def only_version(self, now: float) -> str | None:
        """Return the version of all streams in progress, None if there are several."""
        versions = self.versions(now)
        if not self.is_complete(now) or len(versions) != 1:
            return None
        (version,) = versions
        return None if version == UNKNOWN_VERSION else version
