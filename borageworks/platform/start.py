"""Starts the gateway's program on the platform."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the program.

    The platform may announce changed settings at any moment. Until the program listens
    for that signal, which takes it a second of imports, the signal would end it; the
    settings are read after that anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from borageworks.platform.main import main as run_program

    run_program()


if __name__ == "__main__":
    main()
