"""Member updates queued for piggybacking on outgoing packets."""

from __future__ import annotations

from borageworks.wire.messages import MemberUpdate

Key = tuple[str, str]


def packed_size(update: MemberUpdate) -> int:
    """Return an upper bound on the size of an update in a packed frame, in bytes."""
    # Ports and state take 6 bytes, three pointers 15. Packing adds one byte per 8-byte
    # word, and a second one to a word with no zero byte or with zero bytes only.
    incarnation_bytes = (update.incarnation.bit_length() + 7) // 8 + 2
    text_lengths = (len(update.instance), len(update.domain), len(update.host))
    return (
        21
        + incarnation_bytes
        + sum(length + 2 * (length // 8) + 2 for length in text_lengths)
    )


class UpdateQueue:
    """Returns each update a bounded number of times, the least sent ones first."""

    def __init__(self) -> None:
        self._send_counts: dict[Key, int] = {}
        self._by_send_count: list[dict[Key, MemberUpdate]] = [{}]

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._send_counts)

    def put(self, update: MemberUpdate) -> None:
        """Add an update in place of an earlier one of the same instance and domain."""
        key = (update.instance, update.domain)
        send_count = self._send_counts.get(key)
        if send_count is not None:
            del self._by_send_count[send_count][key]
        self._send_counts[key] = 0
        self._by_send_count[0][key] = update

    def take(self, free_bytes: int, max_sends: int) -> list[MemberUpdate]:
        """Return updates that fit `free_bytes`, each at most `max_sends` times."""
        if not self._send_counts:
            return []
        taken: list[tuple[int, Key, MemberUpdate]] = []
        for send_count, queued in enumerate(self._by_send_count):
            for key, update in queued.items():
                free_bytes -= packed_size(update)
                if free_bytes < 0:
                    break
                taken.append((send_count, key, update))
            if free_bytes < 0:
                break
        for send_count, key, update in taken:
            del self._by_send_count[send_count][key]
            if send_count + 1 >= max_sends:
                del self._send_counts[key]
                continue
            if send_count + 1 == len(self._by_send_count):
                self._by_send_count.append({})
            self._send_counts[key] = send_count + 1
            self._by_send_count[send_count + 1][key] = update
        return [update for _, _, update in taken]
