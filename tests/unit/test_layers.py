"""Test that each layer imports only the layers that it may use."""

import ast
from pathlib import Path

import pytest

import hyssopvane._internal

ROOT = Path(next(iter(hyssopvane._internal.__path__)))
PACKAGE = "hyssopvane._internal"
# The imports that docs/architecture.md allows for each layer.
SHARED = {"exceptions", "models", "utils"}
ALLOWED = {
    "models": {"exceptions"},
    "utils": {"exceptions"},
    "state": SHARED | {"state"},
    "policy": SHARED | {"state", "policy"},
    "protocol": SHARED | {"state", "protocol"},
    "transport": SHARED | {"state", "policy", "protocol", "transport"},
    "coordination": SHARED | {"state", "policy", "protocol", "coordination"},
}
# These layers decide by their arguments alone, so tests need no sockets and no clock.
PURE = ("state", "policy")
IMPURE_MODULES = {"trio", "socket", "time", "asyncio", "httpcore", "hypercorn"}


def list_modules(layer):
    return sorted((ROOT / layer).glob("*.py"))


def list_imports(path):
    """Yield the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


@pytest.mark.parametrize("layer", ALLOWED)
def test_layer_imports_only_what_it_may(layer):
    for path in list_modules(layer):
        for module in list_imports(path):
            if module.startswith(PACKAGE + "."):
                imported = module.split(".")[2]
                assert imported in ALLOWED[layer] | {layer}, f"{path.name}: {module}"


@pytest.mark.parametrize("layer", PURE)
def test_pure_layer_does_no_input_or_output(layer):
    for path in list_modules(layer):
        found = {module.split(".")[0] for module in list_imports(path)}
        assert not found & IMPURE_MODULES, path.name


def test_only_assembly_imports_the_platform_adapter():
    for path in sorted(ROOT.rglob("*.py")):
        if path.parent.name == "platform" or path == ROOT / "assembly.py":
            continue
        found = [one for one in list_imports(path) if f"{PACKAGE}.platform" in one]
        assert not found, path.relative_to(ROOT)


def test_platform_names_appear_only_in_the_adapter():
    words = ("kv-", "/api/", "x-tenant", "X-Tenant", "expert-map", "op/config")
    for path in sorted(ROOT.rglob("*.py")):
        if path.parent.name != "platform":
            text = path.read_text()
            assert not [word for word in words if word in text], path.relative_to(ROOT)
