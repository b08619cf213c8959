"""Identity of the process that holds a claim."""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "~"


@dataclass(frozen=True, slots=True)
class Holder:
    """An instance and one boot of it, that is, one run of its process.

    `boot_id` is drawn at each start of the process. A restarted instance is a different
    holder, because it has no state of the requests that ran before the restart.
    Instance ids do not contain `~`.
    """

    instance: str
    boot_id: str

    @classmethod
    def parse(cls, text: str) -> Holder:
        """Parse the format that `str` returns."""
        instance, _, boot_id = text.partition(SEPARATOR)
        return cls(instance, boot_id)

    def __str__(self) -> str:
        """Return the format used in messages and records."""
        return f"{self.instance}{SEPARATOR}{self.boot_id}"
