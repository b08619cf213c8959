"""Differences of a deployment from the version in force, without I/O."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

from borageworks.config.deployment_listing import DeploymentListing, OrganisationKeys
from borageworks.config.finding import (
    Finding,
    FindingCode,
    Severity,
    error,
    field_label,
    format_value,
    hash_key,
    warning,
)
from borageworks.gateway.deployment import ServiceProfile
from borageworks.gateway.route import Route

Steps = tuple[str | int, ...]
Entry = Route | ServiceProfile


def compare(listing: DeploymentListing, current: DeploymentListing) -> list[Finding]:
    """Return the differences of a deployment from the version in force.

    Parameters
    ----------
    listing
        Deployment to check; all places refer to it.
    current
        Version in force.
    """
    comparison = _Comparison(listing)
    new, old = listing.deployment, current.deployment
    differences = [
        *comparison.entries("routes", "route", old.routes, new.routes),
        *comparison.entries("services", "service", current.services, listing.services),
        *comparison.organisations(current),
        *comparison.fields(("limits",), "limits", old.limits, new.limits),
        *comparison.value(
            ("tokens_per_s",), "limits", old.tokens_per_s, new.tokens_per_s
        ),
    ]
    return [*_check_version(listing, old.version, bool(differences)), *differences]


def _check_version(
    listing: DeploymentListing, current: int, differs: bool
) -> Iterator[Finding]:
    version = listing.deployment.version
    code, place = FindingCode.VERSION_NOT_ABOVE, listing.path("version")
    if version < current:
        message = f"version {current} is in force: instances reject version {version}"
        yield error(code, place, message)
    elif version == current and differs:
        message = (
            f"version {version} is in force with other content: instances cannot tell "
            "which of the two is newer"
        )
        yield error(code, place, message)
    elif version == current:
        message = f"version {version} is in force, and no difference was found"
        yield warning(code, place, message)


class _Comparison:
    """Yields the differences of parts of a deployment.

    Parameters
    ----------
    listing
        New deployment, to which places refer.
    """

    def __init__(self, listing: DeploymentListing) -> None:
        self._listing = listing

    def entries(
        self, part: str, kind: str, old: Sequence[Entry], new: Sequence[Entry]
    ) -> Iterator[Finding]:
        """Compare two lists, whose entries are identified by their names."""
        old_entries, new_entries = _number(old), _number(new)
        for key, (_, entry) in old_entries.items():
            if key not in new_entries:
                yield self._removed(
                    (part,), f"{kind} {entry.name!r}", format_value(part, entry)
                )
        for key, (index, entry) in new_entries.items():
            steps, subject = (part, index), f"{kind} {entry.name!r}"
            if key in old_entries:
                yield from self.fields(steps, subject, old_entries[key][1], entry)
            else:
                yield self._added(steps, subject, format_value(part, entry))

    def organisations(self, current: DeploymentListing) -> Iterator[Finding]:
        """Compare the organisations; keys are named by their hashes."""
        new, old = self._listing.organisations, current.organisations
        if new is None or old is None:
            if new is not old:
                texts = (
                    "not set" if entries is None else f"{len(entries)} entries"
                    for entries in (old, new)
                )
                yield self._changed(("organisations",), "organisations", *texts)
            return
        old_keys, new_keys = _keys_by_name(old), _keys_by_name(new)
        for name, (_, keys) in old_keys.items():
            if name not in new_keys:
                subject = f"organisation {name!r}"
                yield self._removed(("organisations",), subject, _hash_keys(keys))
        for name, (index, keys) in new_keys.items():
            steps, subject = ("organisations", index), f"organisation {name!r}"
            if name not in old_keys:
                yield self._added(steps, subject, _hash_keys(keys))
                continue
            for key in sorted(old_keys[name][1] - keys):
                yield self._removed(steps, f"key of {subject}", hash_key(key))
            for key in sorted(keys - old_keys[name][1]):
                yield self._added(steps, f"key of {subject}", hash_key(key))

    def fields(
        self, steps: Steps, subject: str, old: Any, new: Any
    ) -> Iterator[Finding]:
        """Compare all fields of two objects of the same data class."""
        for item in dataclasses.fields(new):
            yield from self.value(
                (*steps, item.name),
                subject,
                getattr(old, item.name),
                getattr(new, item.name),
            )

    def value(
        self, steps: Steps, subject: str, old: object, new: object
    ) -> Iterator[Finding]:
        """Compare two values of the field that the last step names."""
        if old == new:
            return
        name = str(steps[-1])
        subject = f"{subject}: {field_label(name)}"
        if dataclasses.is_dataclass(new) and type(old) is type(new):
            yield from self.fields(steps, subject, old, new)
            return
        texts = format_value(name, old), format_value(name, new)
        yield self._changed(steps, subject, *texts)

    def _added(self, steps: Steps, subject: str, value: str) -> Finding:
        return self._difference(
            FindingCode.ADDED, steps, f"{subject} added: {value}", new=value
        )

    def _removed(self, steps: Steps, subject: str, value: str) -> Finding:
        return self._difference(
            FindingCode.REMOVED, steps, f"{subject} removed: {value}", old=value
        )

    def _changed(self, steps: Steps, subject: str, old: str, new: str) -> Finding:
        message = f"{subject} changed from {old} to {new}"
        return self._difference(FindingCode.CHANGED, steps, message, old=old, new=new)

    def _difference(
        self,
        code: FindingCode,
        steps: Steps,
        message: str,
        *,
        old: str | None = None,
        new: str | None = None,
    ) -> Finding:
        place = self._listing.path(*steps)
        return Finding(code, Severity.INFORMATION, place, message, old, new)


def _number(entries: Sequence[Entry]) -> dict[tuple[str, int], tuple[int, Entry]]:
    """Return entries with positions, by name and number of earlier ones so named."""
    counts: Counter[str] = Counter()
    numbered = {}
    for index, entry in enumerate(entries):
        numbered[entry.name, counts[entry.name]] = index, entry
        counts[entry.name] += 1
    return numbered


def _keys_by_name(
    organisations: Sequence[OrganisationKeys],
) -> dict[str, tuple[int, frozenset[str]]]:
    """Return the first position and all keys of each organisation."""
    keys_by_name: dict[str, tuple[int, frozenset[str]]] = {}
    for index, item in enumerate(organisations):
        first, keys = keys_by_name.get(item.name, (index, frozenset()))
        keys_by_name[item.name] = first, keys.union(item.keys)
    return keys_by_name


def _hash_keys(keys: frozenset[str]) -> str:
    return ", ".join(sorted(map(hash_key, keys))) or "no keys"
