"""Who may import whom: what lives long does not import what lives short.

From the longest life to the shortest: process, connection, request. A version is
a value that all of them hold, so `version` imports none of them. The adapter and
the roots stand apart, on top.
"""

import ast
from pathlib import Path

import eelgrass_node

ROOT = Path(eelgrass_node.__file__).parent
ORDER = ("version", "process", "connection", "request")
BASE = {"exceptions", "log", "log_pipe", "settings"}
TOP = {"platform", "entry_node", "entry_gauges", "cli", "__main__"}

# Modules of the product's own front door that still import against the rule; the
# list may only shrink.
EXCEPTIONS = {
    "connection/callers.py",
    "connection/intake.py",
    "connection/replies.py",
    "process/backends.py",
    "process/changes.py",
    "process/claimed.py",
    "process/configuration.py",
    "process/costs.py",
    "process/dispatch.py",
    "process/node.py",
}


def imported(file: Path) -> set[str]:
    """Return the parts of the node that a module imports."""
    parts = set()
    package = file.relative_to(ROOT).parts[:-1]
    for node in ast.walk(ast.parse(file.read_text())):
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
