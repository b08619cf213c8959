"""Exit codes of the commands, and reporting of errors."""

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


class ExitCode(IntEnum):
    """Exit codes; 0 is success."""

    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    OUTCOME_UNKNOWN = 4


def exit_with_error(error: BorageworksError, source: str = "") -> NoReturn:
    """Write an error to standard error, one reason per line, and exit.

    Parameters
    ----------
    error
        Error to report; its type selects the exit code.
    source
        Name of the file that the reasons refer to.
    """
    prefix = f"{source}: " if source else ""
    match error:
        case SettingsInvalidError() | TicketInvalidError():
            for reason in error.reasons:
                click.echo(f"{prefix}{reason}", err=True)
            sys.exit(ExitCode.INVALID)
        case TicketConflictError():
            code = ExitCode.CONFLICT
        case StoreOutcomeUnknownError():
            code = ExitCode.OUTCOME_UNKNOWN
        case _:
            code = ExitCode.FAILED
    click.echo(f"{prefix}{error.code}: {error}", err=True)
    sys.exit(code)
