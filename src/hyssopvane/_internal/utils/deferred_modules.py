"""Defer the import of modules that libraries import but a role of ours doesn't use.

HTTP/2, WebSocket, TLS and asyncio together took a quarter of the processor time of a
start. They are imported when a name of them is first used, for example for the first
HTTP/2 connection of a caller.
"""

import os
import sys
from collections.abc import Mapping, Sequence
from importlib import import_module
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

Sources = Mapping[str, str]
"""Modules of the names of a package that are used at once, by name."""

DEFERRED: Mapping[str, Sources] = {
    # Standard library. Trio asks `ctypes.util` for a library at each start, which runs
    # `ldconfig` or a compiler as another process.
    "asyncio": {"BufferedProtocol": "asyncio.protocols"},
    "ctypes.util": {"find_library": __name__},
    "multiprocessing": {"current_process": "multiprocessing.process"},
    "multiprocessing.context": {},
    "multiprocessing.synchronize": {},
    "pickle": {},
    "platform": {"python_implementation": __name__, "system": __name__},
    "ssl": {},
    "sysconfig": {"get_scheme_names": __name__},
    "tokenize": {},
    "tomllib": {},
    # The core of pydantic: types of schemas, and one object of this class.
    "pydantic_core.core_schema": {},
    "typing_extensions": {"Sentinel": __name__, "TypedDict": "typing"},
    # Trio: TLS, datagrams over TLS, files and subprocesses.
    "trio._dtls": {},
    "trio._highlevel_ssl_helpers": {},
    "trio._path": {},
    "trio._ssl": {},
    "trio._subprocess": {},
    "idna": {},
    # Loguru: log files.
    "loguru._file_sink": {},
    # Hypercorn: HTTP/2, WebSocket, its own logs and its own start.
    "h2": {},
    "h2.events": {},
    "hypercorn.logging": {},
    "hypercorn.protocol.h2": {},
    "hypercorn.protocol.ws_stream": {},
    "hypercorn.trio.run": {},
}


def find_library(name: str) -> str:
    """Return the file of a library of glibc, without running another program."""
    return f"lib{name}.so.0"


def python_implementation() -> str:
    """Return the name of the interpreter, as `platform` does."""
    return {"cpython": "CPython", "pypy": "PyPy"}[sys.implementation.name]


def system() -> str:
    """Return the name of the operating system, as `platform` does."""
    return os.uname().sysname


def get_scheme_names() -> tuple[str, ...]:
    """Return no folders of libraries, which loguru marks in stacks; it logs none."""
    return ()


class Sentinel:
    """Stand in for the class of the same name of `typing_extensions`."""

    def __init__(self, name: str, *, module_name: str | None = None) -> None:
        self.__name__ = name
        self.__module__ = module_name or __name__


class DeferredName:
    """Stand in for a class or function of a deferred module; import it when used."""

    def __init__(self, module: "DeferredModule", name: str) -> None:
        vars(self).update(_module=module, _name=name)

    def __call__(self, *arguments: Any, **named: Any) -> Any:
        return self._resolve()(*arguments, **named)

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            # Libraries look for special methods of all that they handle.
            raise AttributeError(name)
        return getattr(self._resolve(), name)

    def __instancecheck__(self, instance: object) -> bool:
        # No object is of a class whose module has not been imported.
        return self._module.is_loaded and isinstance(instance, self._resolve())

    def __or__(self, other: Any) -> Any:
        return self._resolve() | other

    def __ror__(self, other: Any) -> Any:
        return other | self._resolve()

    def __mro_entries__(self, bases: tuple[Any, ...]) -> tuple[Any, ...]:
        return (self._resolve(),)

    def _resolve(self) -> Any:
        return getattr(self._module.load(), self._name)


class DeferredModule(ModuleType):
    """Stand in for a module until a name of it is used."""

    def __init__(self, name: str, deferral: "Deferral", sources: Sources) -> None:
        super().__init__(name)
        self._deferral = deferral
        self._sources = sources
        self._real: ModuleType | None = None

    @property
    def is_loaded(self) -> bool:
        """Return whether the module itself has been imported."""
        found = sys.modules.get(self.__name__)
        return found is not None and found is not self

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        if not self._deferral.is_active:
            return getattr(self.load(), name)
        if name in self._sources:
            return getattr(import_module(self._sources[name]), name)
        return DeferredName(self, name)

    def load(self) -> ModuleType:
        """Return the module itself; end the deferral, since it imports others."""
        if self._real is None:
            self._deferral.close()
            self._real = import_module(self.__name__)
        return self._real


class Deferral:
    """Stand in for modules that are imported between `start` and `close`.

    It is a finder and a loader, though not by `importlib.abc`, whose import takes as
    long as that of some of these modules.
    """

    def __init__(self, modules: Mapping[str, Sources] = DEFERRED) -> None:
        self._modules = modules
        self.is_active = False

    def start(self) -> None:
        """Defer the listed modules that have not been imported yet."""
        self.is_active = True
        sys.meta_path.insert(0, self)

    def close(self) -> None:
        """Import all modules as usual from now on."""
        if not self.is_active:
            return
        self.is_active = False
        sys.meta_path.remove(self)
        for name, module in list(sys.modules.items()):
            if isinstance(module, DeferredModule) and module._deferral is self:
                del sys.modules[name]

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        if fullname not in self._modules:
            return None
        spec = ModuleSpec(fullname, self)  # type: ignore[arg-type]
        if self._modules[fullname] or fullname == "h2":
            # The names that are used at once are in modules of the package.
            found = PathFinder.find_spec(fullname, path)
            if found is not None:
                spec.submodule_search_locations = found.submodule_search_locations
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        return DeferredModule(spec.name, self, self._modules[spec.name])

    def exec_module(self, module: ModuleType) -> None:
        """Do nothing, as the stand-in has no content."""


_start = Deferral()


def defer_modules() -> None:
    """Defer imports while the modules of a role are loaded."""
    _start.start()


def end_deferral() -> None:
    """Import all modules as usual from now on."""
    _start.close()
