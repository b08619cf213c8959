"""Reads settings and tickets and reports all errors at once."""

from __future__ import annotations

from pathlib import Path

from borageworks.catalog.objects import Ticket
from borageworks.config.json_errors import JsonInvalidError, parse
from borageworks.config.settings import Settings
from borageworks.exceptions import SettingsInvalidError, TicketInvalidError


def load_settings(path: str | Path) -> Settings:
    """Return the settings in a JSON file.

    Raises
    ------
    SettingsInvalidError
        With every error in the file, each with its JSON path.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        reason = f"$: cannot read {path}: {error.strerror}"
        raise SettingsInvalidError((reason,)) from error
    return parse_settings(data)


def parse_settings(data: bytes) -> Settings:
    """Return the settings in JSON text; raises like `load_settings`."""
    try:
        return parse(Settings, data)
    except JsonInvalidError as error:
        raise SettingsInvalidError(error.reasons) from error


def load_ticket(data: bytes) -> Ticket:
    """Return the ticket in JSON text.

    Raises
    ------
    TicketInvalidError
        With every error in the text, each with its JSON path. References between
        objects are checked later, by `borageworks.catalog.plan.plan_ticket`.
    """
    try:
        return parse(Ticket, data)
    except JsonInvalidError as error:
        raise TicketInvalidError(error.reasons) from error
