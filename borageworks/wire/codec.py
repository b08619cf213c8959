"""Encoding of messages with Cap'n Proto."""

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

# Limits the data read from one frame, since crafted pointers can refer to the same data
# repeatedly (amplification).
TRAVERSAL_LIMIT_WORDS = 1 << 20

Reader = Callable[[Any], Any]
# Sets a field of a builder: (builder, wire name, value).
Writer = Callable[[Any, str, Any], None]


@dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    read: Reader
    write: Writer


def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(word.title() for word in tail)


def _unchanged(value: Any) -> Any:
    return value


def _write_enum(builder: Any, name: str, value: IntEnum) -> None:
    setattr(builder, name, int(value))  # pycapnp does not accept enum members


def _write_struct(builder: Any, name: str, value: Any) -> None:
    _write_message(builder.init(name), value)


def _write_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        items[index] = value


def _write_struct_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    items = builder.init(name, len(values))
    for index, value in enumerate(values):
        _write_message(items[index], value)


def _converters(value_type: Any) -> tuple[Reader, Writer]:
    if typing.get_origin(value_type) is tuple:
        item_type = typing.get_args(value_type)[0]
        item_read, item_write = _converters(item_type)
        return (
            lambda values: tuple([item_read(value) for value in values]),
            _write_struct_list if item_write is _write_struct else _write_list,
        )
    if is_dataclass(value_type) and isinstance(value_type, type):
        return (lambda value: _read_message(value_type, value)), _write_struct
    if isinstance(value_type, type) and issubclass(value_type, IntEnum):
        return value_type, _write_enum
    if value_type is bytes:
        return bytes, setattr
    return _unchanged, setattr


_FIELDS_BY_TYPE: dict[type, tuple[_Field, ...]] = {}


def _fields(value_type: type) -> tuple[_Field, ...]:
    type_fields = _FIELDS_BY_TYPE.get(value_type)
    if type_fields is None:
        hints = typing.get_type_hints(value_type)
        type_fields = tuple(
            _Field(item.name, _camel_case(item.name), *_converters(hints[item.name]))
            for item in fields(value_type)
        )
        _FIELDS_BY_TYPE[value_type] = type_fields
    return type_fields


def _write_message(builder: Any, message: Any) -> None:
    # Passing a dict to new_message takes six times as long as setting each field.
    for item in _fields(type(message)):
        item.write(builder, item.wire_name, getattr(message, item.name))


def _read_message(value_type: type, reader: Any) -> Any:
    return value_type(
        **{
            item.name: item.read(getattr(reader, item.wire_name))
            for item in _fields(value_type)
        }
    )


_TYPE_BY_WIRE_NAME: dict[str, type] = {
    value_type.__name__[0].lower() + value_type.__name__[1:]: value_type
    for value_type in typing.get_args(message_types.Message)
}
_WIRE_NAME_BY_TYPE: dict[type, str] = {
    value_type: name for name, value_type in _TYPE_BY_WIRE_NAME.items()
}


def encode(messages: Iterable[Message]) -> bytes:
    """Return a packed frame with `messages` in order."""
    batch = tuple(messages)
    frame = _SCHEMA.Frame.new_message()
    envelopes = frame.init("messages", len(batch))
    for index, message in enumerate(batch):
        _write_message(
            envelopes[index].init(_WIRE_NAME_BY_TYPE[type(message)]), message
        )
    return bytes(frame.to_bytes_packed())


def decode(data: bytes) -> list[Message]:
    """Return the messages of one packed frame.

    Raises
    ------
    MessageMalformedError
        If `data` is not a valid frame.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        decoded: list[Message] = []
        for envelope in frame.messages:
            name = str(envelope.which())
            decoded.append(
                _read_message(_TYPE_BY_WIRE_NAME[name], getattr(envelope, name))
            )
    except (
        capnp.KjException,
        KeyError,
        UnicodeDecodeError,
        ValueError,
        AttributeError,
    ) as error:
        reason = str(error).partition("\n")[0]
        raise MessageMalformedError(
            f"cannot decode a frame of {len(data)} bytes: {reason}"
        ) from error
    return decoded
