"""Entry point of the gateway on the platform."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the program.

    The platform may send SIGHUP at any time to announce changed settings. The signal
    would terminate the process until a handler is installed, which takes about a second
    because of the imports. It is ignored until then; the settings are read afterwards.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from borageworks.platform.main import main as run_program

    run_program()


if __name__ == "__main__":
    main()
