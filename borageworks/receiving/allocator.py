"""Memory of the process as the operating system sees it."""

from __future__ import annotations

import contextlib
import ctypes
import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM = Path("/proc/self/statm")
# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# The GNU C library raises its threshold to the largest block freed, up to 32 MiB, and
# then keeps large bodies in a heap that it rarely returns.
MMAP_THRESHOLD_BYTES = 131_072


def resident_bytes() -> int:
    """Return the resident memory of the process, 0 if the system does not tell."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def return_free_pages() -> None:
    """Return free pages of the heap to the system; takes milliseconds."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)


def return_large_blocks() -> bool:
    """Make the C library return large blocks as soon as they are freed.

    Returns
    -------
    bool
        Whether the library has this setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    set_mmap = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    set_trim = mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(set_mmap and set_trim)
