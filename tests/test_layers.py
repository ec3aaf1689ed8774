"""Import rules: a layer does not import a layer whose objects have shorter lifetimes.

From the longest lifetime to the shortest: process, connection, request. All of them
hold a version as a value, so `version` imports none of them. The platform adapter and
the entry modules are above the layers.
"""

import ast
import gc
from contextlib import contextmanager
from pathlib import Path

import eelgrass_node

ROOT = Path(eelgrass_node.__file__).parent
ORDER = ("version", "process", "connection", "request")
BASE = {"exceptions", "log", "log_pipe", "settings"}
TOP = {
    "platform",
    "entry_node",
    "entry_gauges",
    "entry_applications",
    "entry_serving",
    "cli",
    "__main__",
}

# Modules of the product's own caller interface that still break the import rule; the
# list may only shrink.
EXCEPTIONS = {
    "connection/callers.py",
    "connection/request_parsing.py",
    "connection/replies.py",
    "process/backends.py",
    "process/changes.py",
    "process/claimed_requests.py",
    "process/configuration.py",
    "process/costs.py",
    "process/dispatch.py",
    "process/node.py",
}


@contextmanager
def without_finalizers():
    """Keep the garbage collector from running finalizers.

    A finalizer that formats a traceback parses source itself. In Python 3.11 a parse
    fails if another one interrupts it: the interpreter has one parser depth counter.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def parsed(file: Path) -> ast.Module:
    """Return the syntax tree of a module."""
    with without_finalizers():
        return ast.parse(file.read_text())


def imported(file: Path) -> set[str]:
    """Return the layers and top-level modules of the node that a module imports."""
    parts = set()
    package = file.relative_to(ROOT).parts[:-1]
    for node in ast.walk(parsed(file)):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = package[: len(package) - node.level + 1]
        path = (*base, *(node.module or "").split("."))
        names = [path] if node.module else [(*base, n.name) for n in node.names]
        parts |= {name[0] for name in names if name and name[0]}
    return parts


def rule_violations() -> dict[str, set[str]]:
    """Return, by module, the imports that break the rule."""
    found = {}
    for file in sorted(ROOT.rglob("*.py")):
        name = file.relative_to(ROOT).as_posix()
        layer = name.split("/")[0]
        if layer not in ORDER:
            continue
        shorter = set(ORDER[ORDER.index(layer) + 1 :]) | TOP
        if wrong := imported(file) & shorter:
            found[name] = wrong
    return found


class ParsesWhenCollected:
    """Cyclic garbage whose finalizer parses, like one that formats a traceback."""

    def __init__(self):
        self.cycle = self

    def __del__(self):
        ast.parse("f(1, (2, [3]))")


class TestParsed:
    # Guards against results that depend on garbage which earlier tests left behind.
    def test_garbage_that_parses_does_not_break_a_parse(self):
        thresholds = gc.get_threshold()
        try:
            for threshold in range(100, 9000, 200):
                gc.disable()
                for _ in range(5):
                    ParsesWhenCollected()
                gc.set_threshold(threshold)
                gc.enable()
                parsed(ROOT / "entry_node.py")
                gc.collect()
        finally:
            gc.set_threshold(*thresholds)


class TestLayers:
    def test_no_layer_imports_a_layer_of_shorter_lifetime(self):
        assert rule_violations().keys() <= EXCEPTIONS

    def test_the_list_of_exceptions_has_no_dead_entries(self):
        assert rule_violations().keys() >= EXCEPTIONS

    def test_only_the_entry_node_imports_the_adapter(self):
        importers = {
            file.relative_to(ROOT).as_posix()
            for file in ROOT.rglob("*.py")
            if "platform" in imported(file)
        }
        outside = {name for name in importers if not name.startswith("platform/")}
        assert outside == {"entry_node.py"}

    def test_wire_names_are_used_only_in_the_adapter(self):
        wire = ("Eelgrassward-Attempt", "Eelgrassward-Engine", "rows-get", "/-/")
        outside = [
            file.relative_to(ROOT).as_posix()
            for file in ROOT.rglob("*.py")
            if "platform" not in file.relative_to(ROOT).parts
            and any(word in file.read_text() for word in wire)
        ]
        assert outside == []
