"""Who may import whom: what lives long does not import what lives short.

From the longest life to the shortest: process, connection, request. A version is
a value that all of them hold, so `version` imports none of them. The adapter and
the roots stand apart, on top.
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
    "cli",
    "__main__",
}

# Modules of the product's own front door that still import against the rule; the
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
    """Keep the collector from running finalizers.

    One that formats a traceback parses source itself, and Python 3.11 fails a parse
    that another one has interrupted: its depth counter is the interpreter's.
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
    """Return the parts of the node that a module imports."""
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


def breaches() -> dict[str, set[str]]:
    """Return what each module imports against the rule."""
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
    """Garbage whose finalizer parses, as one does that formats a traceback."""

    def __init__(self):
        self.itself = self

    def __del__(self):
        ast.parse("f(1, (2, [3]))")


class TestParsed:
    # Guards against verdicts that hang on what earlier tests left to collect.
    def test_garbage_that_parses_does_not_end_a_parse(self):
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
    def test_what_lives_long_does_not_import_what_lives_short(self):
        assert breaches().keys() <= EXCEPTIONS

    def test_the_list_of_exceptions_has_no_dead_entries(self):
        assert breaches().keys() >= EXCEPTIONS

    def test_nothing_but_the_roots_imports_the_adapter(self):
        importers = {
            file.relative_to(ROOT).as_posix()
            for file in ROOT.rglob("*.py")
            if "platform" in imported(file)
        }
        outside = {name for name in importers if not name.startswith("platform/")}
        assert outside == {"entry_node.py"}

    def test_names_of_the_wire_stay_in_the_adapter(self):
        wire = ("Eelgrassward-Attempt", "Eelgrassward-Engine", "rows-get", "/-/")
        outside = [
            file.relative_to(ROOT).as_posix()
            for file in ROOT.rglob("*.py")
            if "platform" not in file.relative_to(ROOT).parts
            and any(word in file.read_text() for word in wire)
        ]
        assert outside == []
