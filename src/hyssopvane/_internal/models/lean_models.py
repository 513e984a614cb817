"""Validate data by the core of pydantic, without the import of pydantic.

Pydantic itself took a third of the processor time of a start. Its core validates by a
schema, which pydantic derives from the annotations of a class; for the few kinds of
annotations that are used here, this module does. Values and errors are the same.
"""

from dataclasses import dataclass
from inspect import get_annotations
from types import NoneType, UnionType
from typing import (
    Annotated,
    Any,
    ClassVar,
    Literal,
    Self,
    Union,
    get_args,
    get_origin,
)

from pydantic_core import SchemaValidator

_REQUIRED: Any = object()

_Schema = dict[str, Any]

_SIMPLE = {bool: "bool", float: "float", int: "int", str: "str"}
_CONSTRAINED = ("int", "float", "str", "list", "tuple", "dict")


@dataclass(frozen=True, slots=True, eq=False)
class FieldRule:
    """Hold what is declared of a field in addition to its type.

    Rules are compared by identity, since unions of annotations need hashes of them.
    """

    default: Any
    alias: str | None
    constraints: _Schema


def Field(
    default: Any = _REQUIRED, *, alias: str | None = None, **constraints: Any
) -> Any:
    """Declare a default, the name in documents, or bounds, as pydantic's `Field`."""
    return FieldRule(_REQUIRED if default is ... else default, alias, constraints)


class Model:
    """Represent validated data; a subclass annotates its fields.

    `strict` forbids conversions between types, and `extra` says whether unknown fields
    are ignored or forbidden. Both are inherited.
    """

    # The core of pydantic sets these attributes.
    __slots__ = (
        "__dict__",
        "__pydantic_extra__",
        "__pydantic_fields_set__",
        "__pydantic_private__",
    )

    model_fields: ClassVar[dict[str, FieldRule]] = {}
    """Rules of the fields, by name."""

    _annotations: ClassVar[dict[str, Any]] = {}
    _config: ClassVar[_Schema] = {}
    _validator: ClassVar[SchemaValidator | None] = None

    def __init_subclass__(
        cls,
        *,
        strict: bool | None = None,
        extra: Literal["ignore", "forbid"] | None = None,
    ) -> None:
        given = {"strict": strict, "extra_fields_behavior": extra}
        cls._config = cls._config | {
            name: value for name, value in given.items() if value is not None
        }
        annotations = get_annotations(cls)
        cls._annotations = cls._annotations | annotations
        cls.model_fields = cls.model_fields | {
            name: _read_rule(cls.__dict__.get(name, _REQUIRED)) for name in annotations
        }
        cls._validator = None

    def __init__(self, **fields: Any) -> None:
        """Validate the fields; raise `ValidationError`."""
        self._get_validator().validate_python(fields, self_instance=self)

    @classmethod
    def model_validate(cls, document: object) -> Self:
        """Validate a document; raise `ValidationError`."""
        found: Self = cls._get_validator().validate_python(document)
        return found

    @classmethod
    def model_validate_json(cls, text: str | bytes) -> Self:
        """Parse and validate a JSON document; raise `ValidationError`."""
        found: Self = cls._get_validator().validate_json(text)
        return found

    def __setattr__(self, name: str, value: object) -> None:
        raise AttributeError(f"{type(self).__name__} is frozen")

    def __repr__(self) -> str:
        fields = ", ".join(f"{key}={value!r}" for key, value in vars(self).items())
        return f"{type(self).__name__}({fields})"

    @classmethod
    def _get_validator(cls) -> SchemaValidator:
        if cls._validator is None:
            cls._validator = SchemaValidator(build_schema(cls))
        return cls._validator


def build_tagged_schema(discriminator: str, *kinds: type[Model]) -> _Schema:
    """Return the schema of one of several models, told apart by a literal field."""
    choices = {
        tag: build_schema(kind)
        for kind in kinds
        for tag in get_args(kind._annotations[discriminator])
    }
    return {
        "type": "tagged-union",
        "choices": choices,
        "discriminator": discriminator,
        "strict": False,
        "from_attributes": True,
    }


def build_schema(annotation: Any) -> _Schema:
    """Return the schema of an annotation; raise `TypeError` for an unsupported one."""
    origin, arguments = get_origin(annotation), get_args(annotation)
    if isinstance(annotation, type) and issubclass(annotation, Model):
        return _build_model(annotation)
    if annotation in _SIMPLE:
        return {"type": _SIMPLE[annotation]}
    if annotation is Any:
        return {"type": "any"}
    if origin is Annotated:
        return _build_annotated(*arguments)
    if origin is Literal:
        return {"type": "literal", "expected": list(arguments)}
    if origin in (Union, UnionType):
        return _build_union(arguments)
    if origin is list:
        return {"type": "list", "items_schema": build_schema(arguments[0])}
    if origin is dict:
        keys, values = map(build_schema, arguments)
        return {"type": "dict", "keys_schema": keys, "values_schema": values}
    if origin is tuple and arguments[1:] == (...,):
        items = [build_schema(arguments[0])]
        return {"type": "tuple", "items_schema": items, "variadic_item_index": 0}
    raise TypeError(f"the annotation {annotation} is not supported")


def _build_model(kind: type[Model]) -> _Schema:
    fields = {
        name: _build_field(annotation, kind.model_fields[name])
        for name, annotation in kind._annotations.items()
    }
    return {
        "type": "model",
        "cls": kind,
        "config": {"title": kind.__name__} | kind._config,
        "schema": {
            "type": "model-fields",
            "model_name": kind.__name__,
            "fields": fields,
        },
    }


def _build_field(annotation: Any, rule: FieldRule) -> _Schema:
    schema = _constrain(build_schema(annotation), rule.constraints)
    if rule.default is not _REQUIRED:
        # Each instance gets its own copy of a default that can be changed.
        copies = isinstance(rule.default, list | dict)
        schema = {"type": "default", "schema": schema, "default": rule.default}
        schema |= {"copy_default": True} if copies else {}
    alias = {} if rule.alias is None else {"validation_alias": rule.alias}
    return {"type": "model-field", "schema": schema} | alias


def _build_annotated(annotation: Any, *rules: Any) -> _Schema:
    schema = build_schema(annotation)
    for rule in rules:
        schema = _constrain(schema, rule.constraints)
    return schema


def _build_union(arguments: tuple[Any, ...]) -> _Schema:
    choices = [build_schema(one) for one in arguments if one is not NoneType]
    schema = choices[0]
    if len(choices) > 1:
        schema = {"type": "union", "choices": choices}
    if NoneType in arguments:
        return {"type": "nullable", "schema": schema}
    return schema


def _constrain(schema: _Schema, constraints: _Schema) -> _Schema:
    if constraints and schema["type"] == "nullable":
        return schema | {"schema": _constrain(schema["schema"], constraints)}
    if constraints and schema["type"] not in _CONSTRAINED:
        raise TypeError(f"bounds of a {schema['type']} are not supported")
    return schema | constraints


def _read_rule(default: Any) -> FieldRule:
    return default if isinstance(default, FieldRule) else FieldRule(default, None, {})
