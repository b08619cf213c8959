"""Updates that wait to be piggybacked."""

from __future__ import annotations

from borageworks.wire.messages import MemberUpdate

Key = tuple[str, str]


def packed_size(update: MemberUpdate) -> int:
    """Return an upper bound of an update's bytes in a packed frame."""
    # Ports and state take 6 bytes and three pointers 15. Packing adds a byte to each
    # word of eight bytes, and a second one to a word without zeros or of zeros only.
    number = (update.incarnation.bit_length() + 7) // 8 + 2
    texts = (len(update.instance), len(update.domain), len(update.host))
    return 21 + number + sum(length + 2 * (length // 8) + 2 for length in texts)


class UpdateQueue:
    """Gives each update a bounded number of times, the least often sent ones first."""

    def __init__(self) -> None:
        self._sent: dict[Key, int] = {}
        self._by_sent: list[dict[Key, MemberUpdate]] = [{}]

    def __len__(self) -> int:
        """Return the number of waiting updates."""
        return len(self._sent)

    def put(self, update: MemberUpdate) -> None:
        """Add an update in place of an earlier one of the same member."""
        key = (update.instance, update.domain)
        sent = self._sent.get(key)
        if sent is not None:
            del self._by_sent[sent][key]
        self._sent[key] = 0
        self._by_sent[0][key] = update

    def take(self, size: int, limit: int) -> list[MemberUpdate]:
        """Return updates of at most `size` bytes; each is given `limit` times."""
        if not self._sent:
            return []
        taken: list[tuple[int, Key, MemberUpdate]] = []
        for sent, waiting in enumerate(self._by_sent):
            for key, update in waiting.items():
                size -= packed_size(update)
                if size < 0:
                    break
                taken.append((sent, key, update))
            if size < 0:
                break
        for sent, key, update in taken:
            del self._by_sent[sent][key]
            if sent + 1 >= limit:
                del self._sent[key]
                continue
            if sent + 1 == len(self._by_sent):
                self._by_sent.append({})
            self._sent[key] = sent + 1
            self._by_sent[sent + 1][key] = update
        return [update for _, _, update in taken]
