"""Keep the compiled code of generated functions from one start to the next.

`dataclasses` and `attrs` generate the methods of a class as source text and compile the
text whenever the class is defined. The bytecode files of modules don't hold the result.
For the classes of an entry, this took a fifth of the processor time of its start.
"""

import __future__

import builtins
import dataclasses
import marshal
import os
import re
import sys
import zlib
from importlib.util import MAGIC_NUMBER
from types import CodeType
from typing import Any

_FOLDER = os.path.dirname(os.path.dirname(__file__))

_TYPE_HASH = re.compile(r"(?<=hash\(\()\s*-?\d+,")
"""Number that `attrs` puts into the source of `__hash__`.

It is the hash of a text, which differs between processes. Without it, objects of
different classes with the same values have the same hash, which is allowed.
"""

_ANNOTATIONS = __future__.annotations.compiler_flag
"""Flag of a module with `from __future__ import annotations`, as that of `attrs` is."""

_CHECKSUM_BYTES = 4

_Key = tuple[str, str, int]
"""Source text, file name and flags that were compiled."""


_compile = compile


class CodeCache:
    """Return the compiled code of source texts, from a file if it is there."""

    def __init__(self, codes: dict[_Key, CodeType] | None = None) -> None:
        self.codes = codes or {}
        self.compiled = 0
        """Number of texts that were not in the cache."""

    def get(self, source: str, filename: str, flags: int = 0) -> CodeType:
        """Return the code of a module's source text."""
        code = self.codes.get((source, filename, flags))
        if code is None:
            self.compiled += 1
            code = _compile(source, filename, "exec", flags, dont_inherit=True)
            self.codes[source, filename, flags] = code
        return code

    def start(self) -> None:
        """Use the cache for classes that are defined from now on."""
        # A name of a module hides the built-in function of the same name.
        vars(dataclasses)["exec"] = self._execute
        if "attr._make" not in sys.modules:
            # Attrs defines classes of its own while it is imported.
            builtins.compile = self._compile_first
            try:
                import attr._make
            finally:
                builtins.compile = _compile
        import attr._make

        vars(attr._make)["compile"] = self._compile

    def close(self) -> None:
        """Compile all texts again, and release the cached code."""
        import attr._make

        vars(dataclasses).pop("exec", None)
        vars(attr._make).pop("compile", None)
        self.codes = {}

    def _compile_first(self, source: Any, *rest: Any, **named: Any) -> Any:
        if len(rest) == 2 and not named and isinstance(source, str):
            return self._compile(source, *rest)
        return _compile(source, *rest, **named)

    def _execute(self, source: str, *scopes: Any) -> None:
        exec(self.get(source, "<string>"), *scopes)

    def _compile(self, source: str, filename: str, mode: str) -> CodeType:
        return self.get(_TYPE_HASH.sub("", source), filename, _ANNOTATIONS)


def get_cache_path(role: str) -> str:
    """Return the file of a role, which is written when a release is built."""
    return os.path.join(_FOLDER, f"{role}.{sys.implementation.cache_tag}.cache")


def load_code_cache(path: str) -> CodeCache:
    """Return the cache of a file; return an empty one if the file can't be used."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError:
        return CodeCache()
    header = _make_header()
    start = len(header) + _CHECKSUM_BYTES
    checksum, codes = data[len(header) : start], data[start:]
    if not data.startswith(header) or checksum != _make_checksum(codes):
        return CodeCache()
    try:
        return CodeCache(marshal.loads(codes))
    except (EOFError, ValueError, TypeError):
        return CodeCache()


def write_code_cache(cache: CodeCache, path: str) -> None:
    """Write the cache to a file for interpreters of this version."""
    codes = marshal.dumps(cache.codes)
    with open(path, "wb") as file:
        file.write(_make_header() + _make_checksum(codes) + codes)


def _make_header() -> bytes:
    """Return what code must have in common with the interpreter that runs it."""
    return MAGIC_NUMBER + bytes([sys.flags.optimize])


def _make_checksum(codes: bytes) -> bytes:
    """Return the checksum of a file, since `marshal` checks almost nothing.

    A file that was damaged, as by a power loss after a build, could end the process or
    decode into other code.
    """
    return zlib.crc32(codes).to_bytes(_CHECKSUM_BYTES, "big")
