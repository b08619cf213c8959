"""Exit codes of the commands, and the report of errors."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn

import click

from borageworks.exceptions import (
    BorageworksError,
    SettingsInvalidError,
    StoreOutcomeUnknownError,
    TicketConflictError,
    TicketInvalidError,
)


class Exit(IntEnum):
    """Exit codes; 0 is success."""

    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4


def fail(error: BorageworksError, source: str = "") -> NoReturn:
    """Write an error to standard error, one reason a line, and exit.

    Parameters
    ----------
    error
        What went wrong.
    source
        Name of the file that the reasons refer to.
    """
    prefix = f"{source}: " if source else ""
    match error:
        case SettingsInvalidError() | TicketInvalidError():
            for reason in error.reasons:
                click.echo(f"{prefix}{reason}", err=True)
            sys.exit(Exit.INVALID)
        case TicketConflictError():
            code = Exit.CONFLICT
        case StoreOutcomeUnknownError():
            code = Exit.UNKNOWN
        case _:
            code = Exit.FAILED
    click.echo(f"{prefix}{error.code}: {error}", err=True)
    sys.exit(code)
