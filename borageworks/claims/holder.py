"""Identity of the process that holds a claim."""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "~"


@dataclass(frozen=True, slots=True)
class Holder:
    """An instance and one boot of it.

    A restarted instance is another holder: it knows nothing of the requests that ran
    before. Instance ids have no `~`.
    """

    instance: str
    boot: str

    @classmethod
    def parse(cls, text: str) -> Holder:
        """Read the form that `str` gives."""
        instance, _, boot = text.partition(SEPARATOR)
        return cls(instance, boot)

    def __str__(self) -> str:
        """Return the form that messages and records carry."""
        return f"{self.instance}{SEPARATOR}{self.boot}"
