"""Encodes messages with Cap'n Proto."""

from __future__ import annotations

import typing
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, is_dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

import capnp

from borageworks.exceptions import MessageMalformedError
from borageworks.wire import messages as message_types
from borageworks.wire.messages import Message

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("fleet.capnp")))

# Bounds what a decoder reads from one frame, against amplification by crafted pointers.
TRAVERSAL_LIMIT_WORDS = 1 << 20

Reader = Callable[[Any], Any]
Writer = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    read: Reader
    write: Writer


def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


def _identity(value: Any) -> Any:
    return value


def _converters(kind: Any) -> tuple[Reader, Writer]:
    if typing.get_origin(kind) is tuple:
        item_read, item_write = _converters(typing.get_args(kind)[0])
        return (
            lambda values: tuple(item_read(value) for value in values),
            lambda values: [item_write(value) for value in values],
        )
    if is_dataclass(kind) and isinstance(kind, type):
        return (lambda value: _read(kind, value)), _write
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return kind, int
    if kind is bytes:
        return bytes, _identity
    return _identity, _identity


_LAYOUTS: dict[type, tuple[_Field, ...]] = {}


def _layout(kind: type) -> tuple[_Field, ...]:
    layout = _LAYOUTS.get(kind)
    if layout is None:
        hints = typing.get_type_hints(kind)
        layout = tuple(
            _Field(item.name, _camel_case(item.name), *_converters(hints[item.name]))
            for item in fields(kind)
        )
        _LAYOUTS[kind] = layout
    return layout


def _write(message: Any) -> dict[str, Any]:
    return {
        item.wire_name: item.write(getattr(message, item.name))
        for item in _layout(type(message))
    }


def _read(kind: type, reader: Any) -> Any:
    return kind(
        **{
            item.name: item.read(getattr(reader, item.wire_name))
            for item in _layout(kind)
        }
    )


_KINDS: dict[str, type] = {
    kind.__name__[0].lower() + kind.__name__[1:]: kind
    for kind in typing.get_args(message_types.Message)
}
_NAMES: dict[type, str] = {kind: name for name, kind in _KINDS.items()}


def encode(messages: Iterable[Message]) -> bytes:
    """Return the packed frame that holds `messages` in order."""
    frame = _SCHEMA.Frame.new_message(
        messages=[{_NAMES[type(message)]: _write(message)} for message in messages]
    )
    return bytes(frame.to_bytes_packed())


def decode(data: bytes) -> list[Message]:
    """Return the messages of one packed frame.

    Raises
    ------
    MessageMalformedError
        If the bytes are not a valid frame.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        decoded: list[Message] = []
        for envelope in frame.messages:
            name = str(envelope.which())
            decoded.append(_read(_KINDS[name], getattr(envelope, name)))
    except (
        capnp.KjException,
        KeyError,
        UnicodeDecodeError,
        ValueError,
        AttributeError,
    ) as error:
        reason = str(error).partition("\n")[0]
        raise MessageMalformedError(f"frame of {len(data)} bytes: {reason}") from error
    return decoded
