"""Lines of log files and directories."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path


def read_lines(paths: tuple[Path, ...]) -> Iterator[bytes]:
    """Yield the lines of files and of all files in directories.

    Without any path, standard input is read.
    """
    if not paths:
        yield from sys.stdin.buffer
        return
    for path in paths:
        files = sorted(path.rglob("*")) if path.is_dir() else [path]
        for file in files:
            if file.is_file():
                with file.open("rb") as log_file:
                    yield from log_file
