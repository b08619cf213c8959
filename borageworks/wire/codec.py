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
# Stores a value in the field of a builder: (builder, wire name, value).
Writer = Callable[[Any, str, Any], None]


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


def _write_enum(builder: Any, name: str, value: IntEnum) -> None:
    setattr(builder, name, int(value))  # the library refuses enum classes


def _write_struct(builder: Any, name: str, value: Any) -> None:
    _fill(builder.init(name), value)


def _write_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        items[index] = value


def _write_structs(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        _fill(items[index], value)


def _converters(kind: Any) -> tuple[Reader, Writer]:
    if typing.get_origin(kind) is tuple:
        item_kind = typing.get_args(kind)[0]
        item_read, item_write = _converters(item_kind)
        return (
            lambda values: tuple([item_read(value) for value in values]),
            _write_structs if item_write is _write_struct else _write_list,
        )
    if is_dataclass(kind) and isinstance(kind, type):
        return (lambda value: _read(kind, value)), _write_struct
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return kind, _write_enum
    if kind is bytes:
        return bytes, setattr
    return _identity, setattr


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


def _fill(builder: Any, message: Any) -> None:
    # Fields are set one by one: a dict given to new_message takes six times as long.
    for item in _layout(type(message)):
        item.write(builder, item.wire_name, getattr(message, item.name))


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
    listed = tuple(messages)
    frame = _SCHEMA.Frame.new_message()
    envelopes = frame.init("messages", len(listed))
    for index, message in enumerate(listed):
        _fill(envelopes[index].init(_NAMES[type(message)]), message)
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
