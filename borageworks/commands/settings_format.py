"""Detects the format of a settings file."""

from __future__ import annotations

from enum import Enum
from pathlib import Path


class SettingsFormat(Enum):
    """Format of a settings file."""

    JSON = "json"
    PLATFORM = "platform"


def detect_format(path: Path) -> SettingsFormat:
    """Return the format of a file: project JSON or the platform's key=value lines.

    An unreadable file counts as JSON, whose loader reports the reason.
    """
    try:
        first_byte = path.read_bytes().lstrip()[:1]
    except OSError:
        return SettingsFormat.JSON
    return (
        SettingsFormat.JSON
        if first_byte in (b"", b"{", b"[")
        else SettingsFormat.PLATFORM
    )
