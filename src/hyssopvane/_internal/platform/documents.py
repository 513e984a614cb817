"""Validate documents from outside the system before they are used."""

from typing import Annotated, TypeVar

from pydantic_core import ValidationError

from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.models.lean_models import Field, Model

MAX_NUMBER = 2**53
"""Largest accepted whole number, which every JSON reader represents exactly.

Larger ones don't fit the fields of the messages between processes, and are an error of
the writer.
"""

MAX_MILLISECONDS = 86_400_000.0
"""Longest accepted time, one day: longer ones overflow sums of clock values."""

MAX_NAME = 256
"""Longest accepted name, in characters: keys of the store have 200 bytes."""

Count = Annotated[int, Field(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME)]
Milliseconds = Annotated[float, Field(ge=0, le=MAX_MILLISECONDS, allow_inf_nan=False)]
Measure = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]


class Document(Model, strict=True, extra="ignore"):
    """Validate one document; ignore unknown fields.

    Values are not converted between types: a number in quotes, a list for a name or a
    true for a number is an error of the writer, which a conversion would hide.
    """


_Kind = TypeVar("_Kind", bound=Document)


def read_document(kind: type[_Kind], body: bytes, *, context: str, hint: str) -> _Kind:
    """Parse and validate a JSON document; raise `ConfigurationError`."""
    try:
        return kind.model_validate_json(body)
    except ValidationError as error:
        raise ConfigurationError(
            f"{kind.__name__} can't be read: {_describe(error)}",
            context=context,
            hint=hint,
        ) from error


def _describe(error: ValidationError) -> str:
    """Return the first error and their count: a hostile document has thousands."""
    first = error.errors(include_url=False, include_context=False, include_input=False)
    where = ".".join(str(part) for part in first[0]["loc"][:4])
    why = f"{where}: {first[0]['msg']}"[:_MAX_REASON]
    return f"{why} ({error.error_count()} errors)"


_MAX_REASON = 160
"""Longest logged reason, in characters."""
