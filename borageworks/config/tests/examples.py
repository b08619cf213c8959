"""Valid settings."""

from typing import Any

ADDRESS = {"host": "127.0.0.1", "port": 0}
VALID: dict[str, Any] = {
    "instance": "i1",
    "domain": "d1",
    "listen": ADDRESS,
    "gossip": ADDRESS,
    "peer": ADDRESS,
    "store": {"url": "http://127.0.0.1:2379"},
    "membership": {"seeds": [ADDRESS], "keys": ["0" * 32]},
}
