"""Formats each validation error as one line with its JSON path."""

from __future__ import annotations

import difflib
import types
import typing
from collections.abc import Collection
from typing import Annotated, Any, TypeVar, Union

import orjson
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

UNKNOWN_KEY_TYPE = "extra_forbidden"
VALIDATOR_ERROR_TYPE = "value_error"

Model = TypeVar("Model", bound=BaseModel)


class JsonInvalidError(ValueError):
    """JSON text does not match a model; `reasons` lists each error."""

    def __init__(self, reasons: tuple[str, ...]) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


def parse(model: type[Model], data: bytes) -> Model:
    """Return the model instance that JSON text describes.

    Types are matched strictly: a number in quotes is an error, not a number.

    Raises
    ------
    JsonInvalidError
        With every error, each as ``<JSON path>: <message>``; malformed JSON with its
        line and column.
    """
    try:
        orjson.loads(data)
    except orjson.JSONDecodeError as error:
        reason = f"$: line {error.lineno}, column {error.colno}: {error.msg}"
        raise JsonInvalidError((reason,)) from error
    try:
        return model.model_validate_json(data, strict=True)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        raise JsonInvalidError(
            tuple(_describe(model, detail) for detail in details)
        ) from error


def _describe(model: type[BaseModel], detail: ErrorDetails) -> str:
    path, sibling_keys = _locate(model, detail["loc"])
    message = detail["msg"]
    if detail["type"] == UNKNOWN_KEY_TYPE:
        name = str(detail["loc"][-1])
        nearest = difflib.get_close_matches(name, sibling_keys, n=1)
        message = "unknown key"
        if nearest:
            message += f"; did you mean {nearest[0]!r}?"
    elif detail["type"] == VALIDATOR_ERROR_TYPE:
        message = message.removeprefix("Value error, ")
    return f"{path}: {message}"


def _locate(
    model: type[BaseModel], location: tuple[int | str, ...]
) -> tuple[str, Collection[str]]:
    """Return the JSON path of an error and the keys valid beside its last key.

    The location of an error inside a tagged union also contains the tag, which is not a
    key of the document, so the types are followed along the location.
    """
    path = "$"
    sibling_keys: Collection[str] = ()
    current: Any = model
    for step in location:
        current = _unwrap_annotation(current)
        if isinstance(step, int):
            path += f"[{step}]"
            current = _item_type(current)
        elif isinstance(current, type) and issubclass(current, BaseModel):
            path += f".{step}"
            sibling_keys = current.model_fields
            item = current.model_fields.get(step)
            current = None if item is None else item.annotation
        else:
            current = _union_member(current, step)
    return path, sibling_keys


def _unwrap_annotation(annotation: Any) -> Any:
    while True:
        origin = typing.get_origin(annotation)
        if origin is Annotated:
            annotation = typing.get_args(annotation)[0]
        elif origin in (Union, types.UnionType):
            members = [
                item for item in typing.get_args(annotation) if item is not type(None)
            ]
            if len(members) != 1:
                return annotation
            annotation = members[0]
        else:
            return annotation


def _item_type(annotation: Any) -> Any:
    arguments = typing.get_args(annotation)
    return arguments[0] if arguments else None


def _union_member(union: Any, tag: str) -> Any:
    for member in typing.get_args(union):
        if isinstance(member, type) and issubclass(member, BaseModel):
            item = member.model_fields.get("kind")
            if item is not None and item.default == tag:
                return member
    return None
